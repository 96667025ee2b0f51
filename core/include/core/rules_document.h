#ifndef CORE_RULES_DOCUMENT_H
#define CORE_RULES_DOCUMENT_H

#include <core/rules_line.h>

#define RULES_DOCUMENT_FORMAT 1
#define RULES_DOCUMENT_BYTES_MAX 1000000
/* The number of change ids kept; the oldest are dropped. */
#define RULES_DOCUMENT_CHANGE_MAX 64

/* How long tombstones are kept; revisions are timestamps in milliseconds. */
#define RULES_TOMBSTONE_KEEP_MS (30ULL * 24 * 3600 * 1000)

/*
 * The configuration as the store keeps it. A revision numbers a write of the
 * document; the generation of a line is the revision of the write that last
 * changed that line. The revision of a document is the highest generation of
 * any line so far. A join of two documents keeps, for each name, the line with
 * the higher generation (see rules_line_is_newer), so replicas converge in
 * whatever order documents are joined. A write takes the writer's wall clock in
 * milliseconds as its revision, or the previous revision plus one if that is
 * higher, so that revisions always increase and a store restored to an older
 * state does not issue the same revision twice. The change ids identify the
 * latest writes.
 */
struct rules_document;

struct rules_document *rules_document_new(void);
void rules_document_free(struct rules_document *document);
struct rules_document *
rules_document_copy(const struct rules_document *document);
uint64_t rules_document_revision(const struct rules_document *document);
uint64_t rules_document_digest(const struct rules_document *document);
uint32_t rules_document_count(const struct rules_document *document);
const struct rules_line *
rules_document_at(const struct rules_document *document, uint32_t index);
const struct rules_line *
rules_document_find(const struct rules_document *document, const char *name);
bool rules_document_put(struct rules_document *document,
			struct rules_line *line);
uint32_t rules_document_join(struct rules_document *document,
			     const struct rules_document *other);
bool rules_document_covers(const struct rules_document *document,
			   const struct rules_document *other);
uint64_t rules_document_size_bytes(const struct rules_document *document);
void rules_document_add_change(struct rules_document *document,
			       uint64_t change_id);
bool rules_document_has_change(const struct rules_document *document,
			       uint64_t change_id);
uint32_t rules_document_change_count(const struct rules_document *document);
uint64_t rules_document_change_at(const struct rules_document *document,
				  uint32_t index);
const char *rules_document_extra(const struct rules_document *document);
void rules_document_set_extra(struct rules_document *document,
			      const char *extra);

#endif
