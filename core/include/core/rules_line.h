#ifndef CORE_RULES_LINE_H
#define CORE_RULES_LINE_H

#include <core/service.h>
#include <glib.h>

#define RULES_LINE_FORMER_MAX 16

/*
 * One line as the configuration keeps it: its text, or a tombstone where it
 * was deleted. The generation is the revision that last changed it and the
 * change id the write that did so. While the text is of a later form, the
 * last text of form 1 stays beside it for nodes that read no other. Hashes of
 * former texts tell a stale copy from an edit. extra holds fields of a later
 * version as JSON text, or NULL.
 */
struct rules_line {
	char name[SERVICE_NAME_BYTES];
	uint64_t generation;
	uint64_t change_id;
	uint32_t form;
	bool is_deleted;
	char *text;
	char *earlier_text;
	uint32_t former_count;
	uint64_t former[RULES_LINE_FORMER_MAX];
	char *extra;
};

struct rules_line *rules_line_new(const char *name, const char *text);
struct rules_line *rules_line_copy(const struct rules_line *line);
void rules_line_free(struct rules_line *line);
struct rules_line *rules_line_next(const struct rules_line *former,
				   const char *name, const char *text,
				   uint32_t form);
bool rules_line_is_newer(const struct rules_line *line,
			 const struct rules_line *other);
bool rules_line_has_former(const struct rules_line *line, const char *text);
uint64_t rules_line_hash(const struct rules_line *line);
uint32_t rules_line_size_bytes(const struct rules_line *line);

#endif
