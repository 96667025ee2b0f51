#include <daemon/rules_file.h>

#include <daemon/daemon_error.h>

static bool add_line(struct rule_set *set, const char *path, uint32_t number,
		     char *line, GError **error)
{
	GError *cause = NULL;
	struct rule *rule;

	g_strstrip(line);
	if (*line == '\0' || *line == '#')
		return true;
	rule = rule_parse(line, &cause);
	if (rule) {
		rule_set_add(set, rule);
		return true;
	}
	g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_RULES, "%s:%u: %s", path,
		    number, cause->message);
	g_error_free(cause);
	return false;
}

/*
 * Reads a whole rules file for a node that runs without the platform's
 * service. The caller owns the set. Fails with DAEMON_ERROR_RULES.
 */
struct rule_set *rules_file_read(const char *path, GError **error)
{
	GError *cause = NULL;
	char *text = NULL;
	char **lines;
	struct rule_set *set;
	bool is_valid = true;

	if (!g_file_get_contents(path, &text, NULL, &cause)) {
		g_set_error_literal(error, DAEMON_ERROR, DAEMON_ERROR_RULES,
				    cause->message);
		g_error_free(cause);
		return NULL;
	}
	set = rule_set_new(1);
	lines = g_strsplit(text, "\n", -1);
	for (uint32_t i = 0; is_valid && lines[i]; i++)
		is_valid = add_line(set, path, i + 1, lines[i], error);
	g_strfreev(lines);
	g_free(text);
	if (is_valid)
		return set;
	rule_set_free(set);
	return NULL;
}
