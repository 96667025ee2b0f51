#include <daemon/rules_file.h>

#include <core/rules_text.h>
#include <daemon/daemon_error.h>

/* A file has no revisions; all its rules get this one. */
#define FILE_REVISION 1

static bool add_line(struct rule_set *set, const char *path,
		     const struct rules_text_line *line, GError **error)
{
	char text[RULE_ERROR_TEXT_BYTES];
	struct rule *rule;

	if (!line->rule) {
		g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_RULES,
			    "%s:%u:%u: %s", path, line->line_number,
			    line->parse_error.column,
			    rule_error_format(&line->parse_error, text));
		return false;
	}
	rule = rule_copy(line->rule);
	rule->generation = FILE_REVISION;
	rule_set_add(set, rule);
	return true;
}

static struct rule_set *
make_rule_set(const char *path, const struct rules_text *text, GError **error)
{
	struct rule_set *set = rule_set_new(FILE_REVISION);

	for (uint32_t i = 0; i < rules_text_count(text); i++) {
		if (!add_line(set, path, rules_text_at(text, i), error)) {
			rule_set_free(set);
			return NULL;
		}
	}
	return set;
}

/*
 * Reads the rules from a file, for a node that runs without the platform's
 * key-value store. Free them with rule_set_free. Fails with DAEMON_ERROR_RULES
 * if the file cannot be read, or at the first invalid line.
 */
struct rule_set *rules_file_read(const char *path, GError **error)
{
	GError *cause = NULL;
	char *bytes = NULL;
	gsize length_bytes = 0;
	struct rules_text *text;
	struct rule_set *set;

	if (!g_file_get_contents(path, &bytes, &length_bytes, &cause)) {
		g_set_error_literal(error, DAEMON_ERROR, DAEMON_ERROR_RULES,
				    cause->message);
		g_error_free(cause);
		return NULL;
	}
	text = rules_text_new(bytes, length_bytes);
	set = make_rule_set(path, text, error);
	rules_text_free(text);
	g_free(bytes);
	return set;
}
