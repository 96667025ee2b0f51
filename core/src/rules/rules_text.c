#include <core/rules_text.h>

#include <string.h>

#define CONFIRM_PREFIX "# confirm-deletions="

static const char byte_order_mark[] = "\xef\xbb\xbf";

struct rules_text {
	GPtrArray *lines;
	GHashTable *by_name;
	GHashTable *by_address;
	uint32_t error_count;
	bool has_unnamed_line;
	uint64_t confirmed_revision;
};

static guint endpoint_key_hash(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean endpoint_key_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

static void free_line(gpointer line)
{
	rules_text_line_free(line);
}

/*
 * Names an invalid line after its first word, unless the word has an '=' or is
 * too long for a service name.
 */
static void extract_name(struct rules_text_line *line)
{
	size_t length = strcspn(line->text, " \t#");

	if (length == 0 || length >= SERVICE_NAME_BYTES ||
	    memchr(line->text, '=', length))
		return;
	memcpy(line->name, line->text, length);
	line->name[length] = '\0';
}

static void set_line_error(struct rules_text_line *line, const char *at,
			   size_t found_bytes, const char *expected)
{
	g_clear_pointer(&line->rule, rule_free);
	rule_error_set(&line->parse_error, line->text, at, found_bytes,
		       expected);
	line->parse_error.column += line->indent_columns;
}

static void check_name(struct rules_text *text, struct rules_text_line *line)
{
	if (!line->name[0])
		text->has_unnamed_line = true;
	else if (g_hash_table_contains(text->by_name, line->name))
		set_line_error(line, line->text, strlen(line->name),
			       "each service on one line only");
	else
		g_hash_table_insert(text->by_name, line->name, line);
}

/* Marks a line as invalid if it repeats an address of an earlier line. */
static void check_addresses(struct rules_text *text,
			    struct rules_text_line *line)
{
	char address[ENDPOINT_TEXT_BYTES];

	for (uint32_t i = 0; line->rule && i < line->rule->address_count; i++) {
		const struct endpoint *endpoint = &line->rule->addresses[i];
		const char *at;

		if (!g_hash_table_contains(text->by_address, endpoint))
			continue;
		endpoint_format(endpoint, address);
		at = strstr(line->text, address);
		set_line_error(line, at ? at : line->text, strlen(address),
			       "an address that no earlier line has");
	}
	for (uint32_t i = 0; line->rule && i < line->rule->address_count; i++)
		g_hash_table_insert(text->by_address, &line->rule->addresses[i],
				    line);
}

static void add_rule(struct rules_text *text, uint32_t line_number,
		     uint32_t indent, const char *start, size_t length)
{
	struct rules_text_line *line = g_new0(struct rules_text_line, 1);

	line->line_number = line_number;
	line->indent_columns = indent;
	line->text = g_strndup(start, length);
	line->rule = rule_parse_bytes(start, length, &line->parse_error);
	if (line->rule)
		g_strlcpy(line->name, line->rule->service.name,
			  SERVICE_NAME_BYTES);
	else
		extract_name(line);
	line->parse_error.column += indent;
	check_name(text, line);
	check_addresses(text, line);
	text->error_count += line->rule ? 0 : 1;
	g_ptr_array_add(text->lines, line);
}

static bool is_blank(char byte)
{
	return byte == ' ' || byte == '\t' || byte == '\r';
}

static void parse_comment(struct rules_text *text, const char *start,
			  size_t length)
{
	size_t prefix_bytes = strlen(CONFIRM_PREFIX);

	if (length > prefix_bytes &&
	    strncmp(start, CONFIRM_PREFIX, prefix_bytes) == 0)
		text->confirmed_revision =
			g_ascii_strtoull(start + prefix_bytes, NULL, 10);
}

static void add_line(struct rules_text *text, uint32_t line_number,
		     const char *start, const char *end)
{
	uint32_t indent = 0;

	for (; start < end && is_blank(*start); start++)
		indent++;
	while (end > start && is_blank(end[-1]))
		end--;
	if (start == end)
		return;
	if (*start == '#')
		parse_comment(text, start, (size_t)(end - start));
	else
		add_rule(text, line_number, indent, start,
			 (size_t)(end - start));
}

static void parse_lines(struct rules_text *text, const char *bytes,
			const char *end)
{
	uint32_t line_number = 1;

	while (bytes < end) {
		const char *newline =
			memchr(bytes, '\n', (size_t)(end - bytes));
		const char *line_end = newline ? newline : end;

		add_line(text, line_number++, bytes, line_end);
		bytes = line_end + 1;
	}
}

/*
 * Parses a whole rules file; an invalid line does not affect the parsing of
 * other lines. Lines end in LF or CRLF, and a byte order mark is skipped. Free
 * the result with rules_text_free.
 */
struct rules_text *rules_text_new(const char *bytes, size_t length_bytes)
{
	struct rules_text *text = g_new0(struct rules_text, 1);
	const char *end = bytes + length_bytes;
	size_t mark_bytes = strlen(byte_order_mark);

	text->lines = g_ptr_array_new_with_free_func(free_line);
	text->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	text->by_address =
		g_hash_table_new(endpoint_key_hash, endpoint_key_equal);
	if (length_bytes >= mark_bytes &&
	    memcmp(bytes, byte_order_mark, mark_bytes) == 0)
		bytes += mark_bytes;
	parse_lines(text, bytes, end);
	return text;
}

/* Frees the text and its lines; NULL is allowed. */
void rules_text_free(struct rules_text *text)
{
	if (!text)
		return;
	g_hash_table_destroy(text->by_name);
	g_hash_table_destroy(text->by_address);
	g_ptr_array_free(text->lines, TRUE);
	g_free(text);
}

/* Returns the number of rule lines, valid or invalid. */
uint32_t rules_text_count(const struct rules_text *text)
{
	return text->lines->len;
}

/* Returns the line at an index below rules_text_count. */
const struct rules_text_line *rules_text_at(const struct rules_text *text,
					    uint32_t index)
{
	return g_ptr_array_index(text->lines, index);
}

/* Returns the first line of a service, valid or invalid, or NULL. */
const struct rules_text_line *rules_text_find(const struct rules_text *text,
					      const char *name)
{
	return g_hash_table_lookup(text->by_name, name);
}

/* Returns the number of invalid lines. */
uint32_t rules_text_error_count(const struct rules_text *text)
{
	return text->error_count;
}

/* Returns whether an invalid line's service name could not be determined. */
bool rules_text_has_unnamed_line(const struct rules_text *text)
{
	return text->has_unnamed_line;
}

/*
 * Returns the revision N of the file's last "# confirm-deletions=N" line, which
 * confirms a mass deletion against that revision, or 0.
 */
uint64_t rules_text_confirmed_revision(const struct rules_text *text)
{
	return text->confirmed_revision;
}
