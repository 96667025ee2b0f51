#include <core/rules_text.h>
#include <fakes/test_main.h>
#include <string.h>

#define GOOD(name, host)                                                       \
	name " address=10.0.0." host ":80 pool=10.1.0.1:8080 # Lin"
#define FILE_BYTES(text) text, sizeof(text) - 1

/* Files with their number of valid rules, and their faults as line:column. */
static const struct {
	const char *name;
	const char *bytes;
	size_t length_bytes;
	uint32_t good_count;
	const char *faults;
} rows[] = {
	{"empty", FILE_BYTES(""), 0, ""},
	{"blank-and-comment-lines", FILE_BYTES("\n \t\r\n# note\n"), 0, ""},
	{"no-newline-at-the-end", FILE_BYTES(GOOD("a", "1")), 1, ""},
	{"crlf", FILE_BYTES(GOOD("a", "1") "\r\n" GOOD("b", "2") "\r\n"), 2,
	 ""},
	{"byte-order-mark", FILE_BYTES("\xef\xbb\xbf" GOOD("a", "1") "\n"), 1,
	 ""},
	{"bad-line-between-good-ones",
	 FILE_BYTES(GOOD("a", "1") "\nb x=1 # Lin\n" GOOD("c", "3") "\n"), 2,
	 "2:3 "},
	{"nul-byte-spares-the-neighbours",
	 FILE_BYTES(GOOD("a", "1") "\nb\0b\n" GOOD("c", "3") "\n"), 2, "2:2 "},
	{"binary-garbage",
	 FILE_BYTES("\x7f"
		    "ELF\0\x01\x02\xff\n" GOOD("a", "1") "\n"),
	 1, "1:5 "},
	{"indent-counts", FILE_BYTES("\t a x=1 # Lin\n"), 0, "1:5 "},
	{"duplicate-service",
	 FILE_BYTES(GOOD("a", "1") "\n" GOOD("a", "2") "\n"), 1, "2:1 "},
	{"overlapping-addresses",
	 FILE_BYTES(GOOD("a", "1") "\n  " GOOD("b", "1") "\n"), 1, "2:13 "},
};

START_TEST(test_text)
{
	struct rules_text *text =
		rules_text_new(rows[_i].bytes, rows[_i].length_bytes);
	GString *faults = g_string_new(NULL);
	uint32_t good_count = 0;

	test_row("rules_text", rows[_i].name);
	for (uint32_t i = 0; i < rules_text_count(text); i++) {
		const struct rules_text_line *line = rules_text_at(text, i);

		if (line->rule)
			good_count++;
		else
			g_string_append_printf(faults, "%u:%u ", line->number,
					       line->fault.column);
	}
	ck_assert_msg(strcmp(faults->str, rows[_i].faults) == 0, "%s: %s",
		      rows[_i].name, faults->str);
	ck_assert_uint_eq(good_count, rows[_i].good_count);
	g_string_free(faults, TRUE);
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
