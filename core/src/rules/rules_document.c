#include <core/rules_document.h>

#include <string.h>

/* An upper bound on the document's JSON without its lines and extra fields. */
#define DOCUMENT_OVERHEAD_BYTES 4096

struct rules_document {
	uint64_t revision;
	uint64_t digest;
	uint64_t size_bytes;
	GPtrArray *lines;
	GHashTable *by_name;
	GArray *change_ids;
	char *extra;
};

static void free_line(gpointer line)
{
	rules_line_free(line);
}

/* Makes an empty document of revision 0; free it with rules_document_free. */
struct rules_document *rules_document_new(void)
{
	struct rules_document *document = g_new0(struct rules_document, 1);

	document->lines = g_ptr_array_new_with_free_func(free_line);
	document->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	document->change_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return document;
}

/* Frees a document and its lines; NULL is allowed. */
void rules_document_free(struct rules_document *document)
{
	if (!document)
		return;
	g_hash_table_destroy(document->by_name);
	g_ptr_array_free(document->lines, TRUE);
	g_array_free(document->change_ids, TRUE);
	g_free(document->extra);
	g_free(document);
}

/* Makes a deep copy; free it with rules_document_free. */
struct rules_document *
rules_document_copy(const struct rules_document *document)
{
	struct rules_document *copy = rules_document_new();

	for (guint i = 0; i < document->lines->len; i++)
		rules_document_put(copy, rules_line_copy(g_ptr_array_index(
						 document->lines, i)));
	copy->revision = document->revision;
	g_array_append_vals(copy->change_ids, document->change_ids->data,
			    document->change_ids->len);
	copy->extra = g_strdup(document->extra);
	return copy;
}

/* Returns the highest generation of any line so far; 0 if there was none. */
uint64_t rules_document_revision(const struct rules_document *document)
{
	return document->revision;
}

/* Returns a hash of all lines; equal documents have equal digests. */
uint64_t rules_document_digest(const struct rules_document *document)
{
	return document->digest;
}

/* Returns the number of lines, tombstones included. */
uint32_t rules_document_count(const struct rules_document *document)
{
	return document->lines->len;
}

/* Returns the line at an index below rules_document_count. */
const struct rules_line *
rules_document_at(const struct rules_document *document, uint32_t index)
{
	return g_ptr_array_index(document->lines, index);
}

/* Returns the line or tombstone of a service, or NULL. */
const struct rules_line *
rules_document_find(const struct rules_document *document, const char *name)
{
	return g_hash_table_lookup(document->by_name, name);
}

static void update_totals(struct rules_document *document,
			  const struct rules_line *line, bool is_added)
{
	document->digest ^= rules_line_hash(line);
	if (is_added)
		document->size_bytes += rules_line_size_bytes(line);
	else
		document->size_bytes -= rules_line_size_bytes(line);
}

static void remove_line(struct rules_document *document,
			struct rules_line *line)
{
	update_totals(document, line, false);
	g_hash_table_remove(document->by_name, line->name);
	g_ptr_array_remove_fast(document->lines, line);
}

static bool is_expired(const struct rules_document *document,
		       const struct rules_line *line)
{
	return line->is_deleted &&
	       line->generation + RULES_TOMBSTONE_KEEP_MS < document->revision;
}

/*
 * Removes expired tombstones. Expiry depends only on revisions, not on local
 * clocks, so that all nodes remove the same ones.
 */
static void purge_tombstones(struct rules_document *document)
{
	for (guint i = document->lines->len; i-- > 0;) {
		struct rules_line *line = g_ptr_array_index(document->lines, i);

		if (is_expired(document, line))
			remove_line(document, line);
	}
}

/*
 * Takes ownership of a line, and adds it unless the document has the same line
 * or a newer one of that name, or it is an expired tombstone. Returns whether
 * it was added.
 */
bool rules_document_put(struct rules_document *document,
			struct rules_line *line)
{
	struct rules_line *existing =
		g_hash_table_lookup(document->by_name, line->name);

	if (is_expired(document, line) ||
	    (existing && !rules_line_is_newer(line, existing))) {
		rules_line_free(line);
		return false;
	}
	if (existing)
		remove_line(document, existing);
	g_ptr_array_add(document->lines, line);
	g_hash_table_insert(document->by_name, line->name, line);
	update_totals(document, line, true);
	if (line->generation > document->revision) {
		document->revision = line->generation;
		purge_tombstones(document);
	}
	return true;
}

/*
 * Adds the newer lines of another document, its change ids and, if this one has
 * none, its extra fields. Returns the number of lines added.
 */
uint32_t rules_document_join(struct rules_document *document,
			     const struct rules_document *other)
{
	uint32_t count = 0;

	for (guint i = 0; i < other->lines->len; i++) {
		struct rules_line *line =
			rules_line_copy(g_ptr_array_index(other->lines, i));

		count += rules_document_put(document, line) ? 1 : 0;
	}
	for (guint i = 0; i < other->change_ids->len; i++)
		rules_document_add_change(
			document,
			g_array_index(other->change_ids, uint64_t, i));
	if (!document->extra)
		document->extra = g_strdup(other->extra);
	return count;
}

/*
 * Returns whether this document has every unexpired line of another one, or a
 * newer line of the same name.
 */
bool rules_document_covers(const struct rules_document *document,
			   const struct rules_document *other)
{
	for (guint i = 0; i < other->lines->len; i++) {
		const struct rules_line *line =
			g_ptr_array_index(other->lines, i);
		const struct rules_line *existing =
			rules_document_find(document, line->name);

		if (is_expired(document, line))
			continue;
		if (!existing || rules_line_is_newer(line, existing))
			return false;
	}
	return true;
}

/* Returns an upper bound on the size of the document in the store. */
uint64_t rules_document_size_bytes(const struct rules_document *document)
{
	uint64_t extra_bytes = document->extra ? strlen(document->extra) : 0;

	return document->size_bytes + extra_bytes + DOCUMENT_OVERHEAD_BYTES;
}

/* Records the id of a write; drops the oldest id if the list is full. */
void rules_document_add_change(struct rules_document *document,
			       uint64_t change_id)
{
	if (rules_document_has_change(document, change_id))
		return;
	if (document->change_ids->len == RULES_DOCUMENT_CHANGE_MAX)
		g_array_remove_index(document->change_ids, 0);
	g_array_append_val(document->change_ids, change_id);
}

/* Returns whether the id of a write is recorded, so the write took effect. */
bool rules_document_has_change(const struct rules_document *document,
			       uint64_t change_id)
{
	for (guint i = 0; i < document->change_ids->len; i++) {
		if (g_array_index(document->change_ids, uint64_t, i) ==
		    change_id)
			return true;
	}
	return false;
}

/* Returns the number of recorded change ids. */
uint32_t rules_document_change_count(const struct rules_document *document)
{
	return document->change_ids->len;
}

/* Returns a recorded change id; index 0 is the oldest. */
uint64_t rules_document_change_at(const struct rules_document *document,
				  uint32_t index)
{
	return g_array_index(document->change_ids, uint64_t, index);
}

/*
 * Returns the fields that only later versions of the program know, as JSON
 * text, or NULL.
 */
const char *rules_document_extra(const struct rules_document *document)
{
	return document->extra;
}

/* Stores a copy of the fields that rules_document_extra returns. */
void rules_document_set_extra(struct rules_document *document,
			      const char *extra)
{
	g_free(document->extra);
	document->extra = g_strdup(extra);
}
