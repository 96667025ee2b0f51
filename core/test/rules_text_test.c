#include <core/rules_text.h>
#include <fakes/test_main.h>
#include <string.h>

#define RULE(name, host)                                                       \
	name " address=10.0.0." host ":80 pool=10.1.0.1:8080 # Lin"
#define FILE_BYTES(text) text, sizeof(text) - 1

/* Files, and the expected count of valid lines and errors as line:column. */
static const struct {
	const char *name;
	const char *bytes;
	size_t length_bytes;
	uint32_t valid_count;
	const char *errors;
} rows[] = {
	{"empty", FILE_BYTES(""), 0, ""},
	{"blank-and-comment-lines", FILE_BYTES("\n \t\r\n# note\n"), 0, ""},
	{"no-newline-at-the-end", FILE_BYTES(RULE("a", "1")), 1, ""},
	{"crlf", FILE_BYTES(RULE("a", "1") "\r\n" RULE("b", "2") "\r\n"), 2,
	 ""},
	{"byte-order-mark", FILE_BYTES("\xef\xbb\xbf" RULE("a", "1") "\n"), 1,
	 ""},
	{"bad-line-between-good-ones",
	 FILE_BYTES(RULE("a", "1") "\nb x=1 # Lin\n" RULE("c", "3") "\n"), 2,
	 "2:3 "},
	{"nul-byte-spares-the-neighbours",
	 FILE_BYTES(RULE("a", "1") "\nb\0b\n" RULE("c", "3") "\n"), 2, "2:2 "},
	{"binary-garbage",
	 FILE_BYTES("\x7f"
		    "ELF\0\x01\x02\xff\n" RULE("a", "1") "\n"),
	 1, "1:5 "},
	{"indent-counts", FILE_BYTES("\t a x=1 # Lin\n"), 0, "1:5 "},
	{"duplicate-service",
	 FILE_BYTES(RULE("a", "1") "\n" RULE("a", "2") "\n"), 1, "2:1 "},
	{"overlapping-addresses",
	 FILE_BYTES(RULE("a", "1") "\n  " RULE("b", "1") "\n"), 1, "2:13 "},
};

START_TEST(test_text)
{
	struct rules_text *text =
		rules_text_new(rows[_i].bytes, rows[_i].length_bytes);
	GString *errors = g_string_new(NULL);
	uint32_t valid_count = 0;

	test_row("rules_text", rows[_i].name);
	for (uint32_t i = 0; i < rules_text_count(text); i++) {
		const struct rules_text_line *line = rules_text_at(text, i);

		if (line->rule)
			valid_count++;
		else
			g_string_append_printf(errors, "%u:%u ",
					       line->line_number,
					       line->parse_error.column);
	}
	ck_assert_msg(strcmp(errors->str, rows[_i].errors) == 0, "%s: %s",
		      rows[_i].name, errors->str);
	ck_assert_uint_eq(valid_count, rows[_i].valid_count);
	g_string_free(errors, TRUE);
	rules_text_free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_text");
	TCase *tcase = tcase_create("text");

	tcase_add_loop_test(tcase, test_text, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
