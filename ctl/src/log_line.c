#include <ctl/log_line.h>

#include <string.h>

static const char *const levels[] = {"err", "warning", "notice", "info",
				     "debug"};

/* fields maps a name to its value. */
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

/* Takes name=value words; a value in quotes may hold blanks. */
static void read_fields(struct log_line *line, const char *text)
{
	while (*text) {
		const char *equal = strchr(text, '=');
		const char *end;
		char *name;

		if (!equal)
			return;
		name = g_strndup(text, (gsize)(equal - text));
		text = equal + 1;
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

/* Lines that were collected may have the seconds of the run in front. */
static double read_time_s(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	double time_s;

	if (!time)
		return g_ascii_strtod(text, NULL);
	time_s = (double)g_date_time_to_unix(time);
	g_date_time_unref(time);
	return time_s;
}

/* The words between time and level; a time among them does not name anyone. */
static char *read_source(char **words, guint level_index)
{
	GString *source = g_string_new(NULL);

	for (guint i = 1; i < level_index; i++) {
		if (!strchr(words[i], 'T') || !strchr(words[i], ':'))
			g_string_append_printf(source, "%s ", words[i]);
	}
	return g_string_free(source, FALSE);
}

/*
 * A line reads TIME PROGRAM LEVEL TASK: EVENT FIELDS; where lines were
 * collected, other words may stand before the level. Returns what follows the
 * event, or NULL.
 */
static const char *read_head(struct log_line *line, char **words)
{
	for (guint i = 0; words[i] && words[i + 1] && words[i + 2]; i++) {
		const char *event;

		if (!is_level(words[i]) || !g_str_has_suffix(words[i + 1], ":"))
			continue;
		event = strstr(line->text, words[i + 1]) +
			strlen(words[i + 1]) + 1;
		line->time_s = read_time_s(words[0]);
		line->source = read_source(words, i);
		line->task = g_strndup(words[i + 1], strlen(words[i + 1]) - 1);
		line->event = g_strndup(event, strcspn(event, " "));
		return event + strlen(line->event);
	}
	return NULL;
}

/* Takes a line apart; NULL for one that no node wrote. Free the result. */
struct log_line *log_line_parse(const char *text)
{
	struct log_line *line = g_new0(struct log_line, 1);
	const char *fields;
	char **words;

	line->text = g_strstrip(g_strdup(text));
	line->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	words = g_strsplit(line->text, " ", -1);
	fields = read_head(line, words);
	g_strfreev(words);
	if (!fields) {
		log_line_free(line);
		return NULL;
	}
	read_fields(line, fields + strspn(fields, " "));
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

/* Returns the time of the line, in seconds of its clock. */
double log_line_time_s(const struct log_line *line)
{
	return line->time_s;
}

/* Returns the node, where the line has one, and the process. */
const char *log_line_source(const struct log_line *line)
{
	return line->source;
}

/* Returns the task that wrote the line. */
const char *log_line_task(const struct log_line *line)
{
	return line->task;
}

/* Returns what happened. */
const char *log_line_event(const struct log_line *line)
{
	return line->event;
}

/* Returns a field's value, or NULL. */
const char *log_line_field(const struct log_line *line, const char *name)
{
	return g_hash_table_lookup(line->fields, name);
}

/* Returns the whole line, without its end. */
const char *log_line_text(const struct log_line *line)
{
	return line->text;
}
