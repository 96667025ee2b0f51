#include <core/rules_line.h>

#include <core/rule.h>
#include <string.h>
#include <xxhash.h>

/* An upper bound on the JSON keys, quotes and numbers of a line. */
#define LINE_OVERHEAD_BYTES 160
#define PREVIOUS_HASH_BYTES 20

/*
 * Makes a line of syntax version 1, or a tombstone if text is NULL. Free it
 * with rules_line_free.
 */
struct rules_line *rules_line_new(const char *name, const char *text)
{
	struct rules_line *line = g_new0(struct rules_line, 1);

	g_strlcpy(line->name, name, SERVICE_NAME_BYTES);
	line->form = RULE_FORM_FIRST;
	line->is_deleted = text == NULL;
	line->text = g_strdup(text ? text : "");
	return line;
}

/* Makes a deep copy; free it with rules_line_free. */
struct rules_line *rules_line_copy(const struct rules_line *line)
{
	struct rules_line *copy = g_memdup2(line, sizeof(*line));

	copy->text = g_strdup(line->text);
	copy->previous_text = g_strdup(line->previous_text);
	copy->extra = g_strdup(line->extra);
	return copy;
}

/* Frees a line; NULL is allowed. */
void rules_line_free(struct rules_line *line)
{
	if (!line)
		return;
	g_free(line->text);
	g_free(line->previous_text);
	g_free(line->extra);
	g_free(line);
}

static uint64_t text_hash(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

/* Adds a text's hash to those of previous texts; drops the oldest if full. */
static void add_previous_hash(struct rules_line *line, const char *text)
{
	if (line->previous_hash_count == RULES_LINE_PREVIOUS_HASHES_MAX) {
		line->previous_hash_count--;
		memmove(line->previous_hashes, line->previous_hashes + 1,
			line->previous_hash_count *
				sizeof(line->previous_hashes[0]));
	}
	line->previous_hashes[line->previous_hash_count++] = text_hash(text);
}

/*
 * Makes the line that replaces previous, or a new line if that is NULL; it is a
 * tombstone if text is NULL. The generation and the change id are left at 0, to
 * be set when the line is written. Free it with rules_line_free.
 */
struct rules_line *rules_line_next(const struct rules_line *previous,
				   const char *name, const char *text,
				   uint32_t form)
{
	struct rules_line *line = rules_line_new(name, text);

	line->form = form;
	if (!previous)
		return line;
	line->previous_hash_count = previous->previous_hash_count;
	memcpy(line->previous_hashes, previous->previous_hashes,
	       sizeof(line->previous_hashes));
	line->extra = g_strdup(previous->extra);
	if (previous->is_deleted)
		return line;
	add_previous_hash(line, previous->text);
	if (text && form > RULE_FORM_FIRST)
		line->previous_text =
			g_strdup(previous->form == RULE_FORM_FIRST
					 ? previous->text
					 : previous->previous_text);
	return line;
}

/* Returns whether line has the higher generation or, if equal, change id. */
bool rules_line_is_newer(const struct rules_line *line,
			 const struct rules_line *other)
{
	if (line->generation != other->generation)
		return line->generation > other->generation;
	return line->change_id > other->change_id;
}

/* Returns whether a text is among the line's latest previous texts. */
bool rules_line_has_previous_text(const struct rules_line *line,
				  const char *text)
{
	uint64_t hash = text_hash(text);

	for (uint32_t i = 0; i < line->previous_hash_count; i++) {
		if (line->previous_hashes[i] == hash)
			return true;
	}
	return false;
}

/* Returns a hash of name, generation and change id, for document digests. */
uint64_t rules_line_hash(const struct rules_line *line)
{
	uint64_t parts[3] = {text_hash(line->name), line->generation,
			     line->change_id};

	return XXH3_64bits(parts, sizeof(parts));
}

static size_t length_of(const char *text)
{
	return text ? strlen(text) : 0;
}

/* Returns an upper bound on the size of the line in the store. */
uint32_t rules_line_size_bytes(const struct rules_line *line)
{
	size_t size_bytes =
		LINE_OVERHEAD_BYTES + strlen(line->name) +
		length_of(line->text) + length_of(line->previous_text) +
		length_of(line->extra) +
		(size_t)line->previous_hash_count * PREVIOUS_HASH_BYTES;

	return (uint32_t)size_bytes;
}
