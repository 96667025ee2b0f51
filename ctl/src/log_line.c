#include <ctl/log_line.h>

#include <string.h>

static const char *const levels[] = {"err", "warning", "notice", "info",
				     "debug"};

/* fields maps names to values. */
struct log_line {
	char *text;
	double time_s;
	char *source;
	char *task;
	char *event;
	GHashTable *fields;
};

static bool is_level(const char *word)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(word, levels[i]) == 0)
			return true;
	}
	return false;
}

/* Parses name=value words; a quoted value may contain spaces. */
static void parse_fields(struct log_line *line, const char *text)
{
	while (*text) {
		const char *equals_sign = strchr(text, '=');
		const char *end;
		char *name;

		if (!equals_sign)
			return;
		name = g_strndup(text, (gsize)(equals_sign - text));
		text = equals_sign + 1;
		end = *text == '"' ? strchr(text + 1, '"') : strchr(text, ' ');
		if (*text == '"')
			text++;
		if (!end)
			end = text + strlen(text);
		g_hash_table_replace(line->fields, name,
				     g_strndup(text, (gsize)(end - text)));
		text = end + strspn(end, "\" ");
	}
}

/* The time is ISO 8601 or, in collected logs, seconds since the run started. */
static double parse_time_s(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	double time_s;

	if (!time)
		return g_ascii_strtod(text, NULL);
	time_s = (double)g_date_time_to_unix(time);
	g_date_time_unref(time);
	return time_s;
}

/* Joins the words between time and level, except further timestamps. */
static char *parse_source(char **words, guint level_index)
{
	GString *source = g_string_new(NULL);

	for (guint i = 1; i < level_index; i++) {
		if (!strchr(words[i], 'T') || !strchr(words[i], ':'))
			g_string_append_printf(source, "%s ", words[i]);
	}
	return g_string_free(source, FALSE);
}

/*
 * Parses TIME PROGRAM LEVEL TASK: EVENT; in collected logs there may be other
 * words before the level, such as the node. Returns the text after the event,
 * or NULL if the line has another format.
 */
static const char *parse_header(struct log_line *line, char **words)
{
	for (guint i = 0; words[i] && words[i + 1] && words[i + 2]; i++) {
		const char *event;

		if (!is_level(words[i]) || !g_str_has_suffix(words[i + 1], ":"))
			continue;
		event = strstr(line->text, words[i + 1]) +
			strlen(words[i + 1]) + 1;
		line->time_s = parse_time_s(words[0]);
		line->source = parse_source(words, i);
		line->task = g_strndup(words[i + 1], strlen(words[i + 1]) - 1);
		line->event = g_strndup(event, strcspn(event, " "));
		return event + strlen(line->event);
	}
	return NULL;
}

/* Parses a line; returns NULL if it is not in the format of a node's log. */
struct log_line *log_line_parse(const char *text)
{
	struct log_line *line = g_new0(struct log_line, 1);
	const char *fields;
	char **words;

	line->text = g_strstrip(g_strdup(text));
	line->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	words = g_strsplit(line->text, " ", -1);
	fields = parse_header(line, words);
	g_strfreev(words);
	if (!fields) {
		log_line_free(line);
		return NULL;
	}
	parse_fields(line, fields + strspn(fields, " "));
	return line;
}

/* Frees a line; NULL is allowed. */
void log_line_free(struct log_line *line)
{
	if (!line)
		return;
	g_free(line->text);
	g_free(line->source);
	g_free(line->task);
	g_free(line->event);
	g_hash_table_destroy(line->fields);
	g_free(line);
}

/* Returns the time in seconds, since the Unix epoch or the start of the run. */
double log_line_time_s(const struct log_line *line)
{
	return line->time_s;
}

/* Returns the node, if the line has one, and the process with its pid. */
const char *log_line_source(const struct log_line *line)
{
	return line->source;
}

/* Returns the task that wrote the line. */
const char *log_line_task(const struct log_line *line)
{
	return line->task;
}

/* Returns the name of the event. */
const char *log_line_event(const struct log_line *line)
{
	return line->event;
}

/* Returns the value of a field, or NULL if there is none. */
const char *log_line_field(const struct log_line *line, const char *name)
{
	return g_hash_table_lookup(line->fields, name);
}

/* Returns the whole line, without surrounding whitespace. */
const char *log_line_text(const struct log_line *line)
{
	return line->text;
}
