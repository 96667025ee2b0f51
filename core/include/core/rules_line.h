#ifndef CORE_RULES_LINE_H
#define CORE_RULES_LINE_H

#include <core/service.h>
#include <glib.h>

#define RULES_LINE_PREVIOUS_HASHES_MAX 16

/*
 * One line of the configuration: its text, or a tombstone if the line was
 * deleted. generation is the revision of the write that last changed the line,
 * and change_id identifies that write. form is the syntax version of the text;
 * if it is later than 1, previous_text is the last text of version 1, for
 * nodes that support no other. previous_hashes has the hashes of previous
 * texts, which distinguish a stale copy of the line from an edit. extra has the
 * fields that only a later version of the program knows, as JSON text, or is
 * NULL.
 */
struct rules_line {
	char name[SERVICE_NAME_BYTES];
	uint64_t generation;
	uint64_t change_id;
	uint32_t form;
	bool is_deleted;
	char *text;
	char *previous_text;
	uint32_t previous_hash_count;
	uint64_t previous_hashes[RULES_LINE_PREVIOUS_HASHES_MAX];
	char *extra;
};

struct rules_line *rules_line_new(const char *name, const char *text);
struct rules_line *rules_line_copy(const struct rules_line *line);
void rules_line_free(struct rules_line *line);
struct rules_line *rules_line_next(const struct rules_line *previous,
				   const char *name, const char *text,
				   uint32_t form);
bool rules_line_is_newer(const struct rules_line *line,
			 const struct rules_line *other);
bool rules_line_has_previous_text(const struct rules_line *line,
				  const char *text);
uint64_t rules_line_hash(const struct rules_line *line);
uint32_t rules_line_size_bytes(const struct rules_line *line);

#endif
