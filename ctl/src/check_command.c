#include <ctl/command.h>

#include <core/rule.h>
#include <stdio.h>

/* Checks one line and prints what is wrong with it. */
static bool check_line(const char *path, unsigned int number, char *line)
{
	GError *error = NULL;
	struct rule *rule;

	g_strstrip(line);
	if (*line == '\0' || *line == '#')
		return true;
	rule = rule_parse(line, &error);
	if (rule) {
		rule_free(rule);
		return true;
	}
	printf("%s:%u:1: %s\n", path, number, error->message);
	g_error_free(error);
	return false;
}

static int run(int argc, char **argv)
{
	GError *error = NULL;
	char *text = NULL;
	char **lines;
	int code = EXIT_CODE_DONE;

	if (argc != 2) {
		fputs("Usage: shallotctl check FILE\n", stderr);
		return EXIT_CODE_USAGE;
	}
	if (!g_file_get_contents(argv[1], &text, NULL, &error)) {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
		return EXIT_CODE_BAD_DATA;
	}
	lines = g_strsplit(text, "\n", -1);
	for (unsigned int i = 0; lines[i]; i++) {
		if (!check_line(argv[1], i + 1, lines[i]))
			code = EXIT_CODE_BAD_DATA;
	}
	g_strfreev(lines);
	g_free(text);
	return code;
}

const struct command check_command = {"check", "validate a rules file", run};
