#include <ctl/command.h>

#include <core/rules_text.h>
#include <stdio.h>
#include <string.h>

/* Prints the position and error of each invalid line. */
static void print_errors(const char *path, const struct rules_text *text)
{
	char error[RULE_ERROR_TEXT_BYTES];

	for (uint32_t i = 0; i < rules_text_count(text); i++) {
		const struct rules_text_line *line = rules_text_at(text, i);

		if (!line->rule)
			printf("%s:%u:%u: %s\n", path, line->line_number,
			       line->parse_error.column,
			       rule_error_format(&line->parse_error, error));
	}
}

static const char usage_text[] =
	"Usage: shallotctl check FILE\n"
	"Prints file:line:column and what was expected and found for each "
	"invalid\nline. Exits 0 if there is none and 65 otherwise.\n";

static int run(int argc, char **argv)
{
	GError *error = NULL;
	char *bytes = NULL;
	gsize length_bytes = 0;
	struct rules_text *text;
	uint32_t error_count;

	if (argc == 2 && strcmp(argv[1], "--help") == 0) {
		fputs(usage_text, stdout);
		return EXIT_CODE_DONE;
	}
	if (argc != 2) {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	if (!g_file_get_contents(argv[1], &bytes, &length_bytes, &error)) {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
		return EXIT_CODE_BAD_DATA;
	}
	text = rules_text_new(bytes, length_bytes);
	print_errors(argv[1], text);
	error_count = rules_text_error_count(text);
	rules_text_free(text);
	g_free(bytes);
	return error_count == 0 ? EXIT_CODE_DONE : EXIT_CODE_BAD_DATA;
}

const struct command check_command = {"check", "validate a rules file", run};
