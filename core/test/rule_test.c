#include <core/rule.h>
#include <fakes/test_main.h>
#include <string.h>

#define LINE(text) text, sizeof(text) - 1
#define VALID_FIELDS " address=10.0.0.1:80 pool=10.1.0.1:8080 # Lin"

/*
 * Lines, and the column and text of the error expected for each; expected is
 * NULL for valid lines.
 */
static const struct {
	const char *name;
	const char *line;
	size_t length_bytes;
	uint32_t column;
	const char *expected;
} error_rows[] = {
	{"whole", LINE("desk" VALID_FIELDS), 0, NULL},
	{"old-form-written-out", LINE("desk v=1" VALID_FIELDS), 0, NULL},
	{"tabs", LINE("desk\taddress=10.0.0.1:80\tpool=10.1.0.1:1 # Lin"), 0,
	 NULL},
	{"carriage-return", LINE("desk" VALID_FIELDS "\r"), 0, NULL},
	{"chinese-comment",
	 LINE("desk address=10.0.0.1:80 pool=10.1.0.1:1 # \xe6\x9e\x97\xe7\x8e"
	      "\x89\xe5\xa9\xb7"),
	 0, NULL},
	{"all-fields",
	 LINE("desk v=2 protocol=http class=urgent repeat=never limit=9 "
	      "timeout_ms=500 address=10.0.0.1:80,[2001:db8::1]:80 "
	      "pool=10.1.0.1:8080~2*3@north-a # Lin"),
	 0, NULL},
	{"no-comment", LINE("desk address=10.0.0.1:80 pool=10.1.0.1:8080"), 44,
	 "expected # and who asked for the rule, found nothing"},
	{"empty-comment", LINE("desk address=10.0.0.1:80 #  "), 29,
	 "expected # and who asked for the rule, found nothing"},
	{"no-address", LINE("desk pool=10.1.0.1:8080 # Lin"), 24,
	 "expected address=, found nothing"},
	{"no-pool", LINE("desk address=10.0.0.1:80 # Lin"), 25,
	 "expected pool=, found nothing"},
	{"unknown-field", LINE("desk colour=red" VALID_FIELDS), 6,
	 "expected address=, pool=, protocol=, class=, repeat=, limit=, "
	 "timeout_ms= or v=, found \"colour=red\""},
	{"field-twice", LINE("desk class=bulk class=bulk" VALID_FIELDS), 17,
	 "expected each field only once, found \"class=bulk\""},
	{"bad-address", LINE("desk address=10.0.0:80 pool=10.1.0.1:1 # Lin"),
	 14, "expected address:port, found \"10.0.0:80\""},
	{"address-twice",
	 LINE("desk address=10.0.0.1:80,10.0.0.1:80 pool=10.1.0.1:1 # Lin"), 26,
	 "expected each address only once, found \"10.0.0.1:80\""},
	{"target-twice",
	 LINE("desk address=10.0.0.1:80 pool=10.1.0.1:1,10.1.0.1:1 # Lin"), 42,
	 "expected each target only once, found \"10.1.0.1:1\""},
	{"bad-slots", LINE("desk address=10.0.0.1:80 pool=10.1.0.1:1*0 # Lin"),
	 42, "expected slots from 1 to 65535, found \"0\""},
	{"empty-zone", LINE("desk address=10.0.0.1:80 pool=10.1.0.1:1@ # Lin"),
	 42, "expected a zone name of 1 to 31 bytes, found nothing"},
	{"bad-protocol", LINE("desk protocol=quic" VALID_FIELDS), 15,
	 "expected tcp, udp or http, found \"quic\""},
	{"bad-class", LINE("desk class=late" VALID_FIELDS), 12,
	 "expected urgent, normal or bulk, found \"late\""},
	{"bad-repeat", LINE("desk repeat=once" VALID_FIELDS), 13,
	 "expected method, always or never, found \"once\""},
	{"bad-limit", LINE("desk limit=0" VALID_FIELDS), 12,
	 "expected a limit from 1 to 1000000, found \"0\""},
	{"bad-timeout", LINE("desk timeout_ms=1s" VALID_FIELDS), 17,
	 "expected milliseconds from 1 to 3600000, found \"1s\""},
	{"incarnation-in-the-old-form",
	 LINE("desk address=10.0.0.1:80 pool=10.1.0.1:1~2 # Lin"), 43,
	 "expected v=2 with incarnations of targets, found nothing"},
	{"later-form", LINE("desk v=3 colour=red" VALID_FIELDS), 8,
	 "expected syntax version 1 or 2, found \"3\""},
	{"nul-byte", LINE("desk\0" VALID_FIELDS), 5,
	 "expected text without NUL bytes, found \"?\""},
	{"not-utf-8", LINE("desk" VALID_FIELDS "\xff"), 50,
	 "expected UTF-8 text, found nothing"},
	{"name-in-chinese", LINE("\xe6\x9e\x97" VALID_FIELDS), 1,
	 "expected a service name of letters, digits, -, _ and ., found "
	 "\"\xe6\x9e\x97\""},
	{"column-counts-characters",
	 LINE("desk class=\xe6\x9e\x97\xe6\x9e\x97 limit=0" VALID_FIELDS), 12,
	 "expected urgent, normal or bulk, found \"\xe6\x9e\x97\xe6\x9e\x97\""},
	{"empty", LINE(""), 1,
	 "expected # and who asked for the rule, found nothing"},
};

START_TEST(test_error)
{
	struct rule_error error = {.column = 0};
	char text[RULE_ERROR_TEXT_BYTES];
	struct rule *rule = rule_parse_bytes(
		error_rows[_i].line, error_rows[_i].length_bytes, &error);

	test_row("rule", error_rows[_i].name);
	if (!error_rows[_i].expected) {
		ck_assert_msg(rule, "%s: %s", error_rows[_i].name,
			      rule_error_format(&error, text));
	} else {
		ck_assert_msg(!rule, "%s", error_rows[_i].name);
		ck_assert_str_eq(rule_error_format(&error, text),
				 error_rows[_i].expected);
		ck_assert_uint_eq(error.column, error_rows[_i].column);
	}
	rule_free(rule);
}
END_TEST

START_TEST(test_overlong)
{
	char *line = g_strnfill(RULE_LINE_BYTES_MAX + 1, 'x');
	struct rule_error error;

	test_row("rule", "overlong");
	ck_assert_ptr_null(
		rule_parse_bytes(line, RULE_LINE_BYTES_MAX + 1, &error));
	ck_assert_str_eq(error.expected, "a line of at most 65536 bytes");
	g_free(line);
}
END_TEST

/*
 * Whether two lines with the same target address give the target the same id.
 * The id depends on the incarnation and the service, but not on the syntax
 * version.
 */
static const struct {
	const char *name;
	const char *lines[2];
	bool is_same;
} target_rows[] = {
	{"same-target", {"a v=2" VALID_FIELDS, "a" VALID_FIELDS}, true},
	{"another-incarnation-is-another-target",
	 {"a v=2 address=10.0.0.1:80 pool=10.1.0.1:8080~1 # Lin",
	  "a v=2 address=10.0.0.1:80 pool=10.1.0.1:8080~2 # Lin"},
	 false},
	{"another-service-is-another-target",
	 {"a" VALID_FIELDS, "b" VALID_FIELDS},
	 false},
};

START_TEST(test_target)
{
	struct rule *rules[2];

	for (int i = 0; i < 2; i++) {
		rules[i] = rule_parse(target_rows[_i].lines[i], NULL);
		ck_assert_ptr_nonnull(rules[i]);
	}
	ck_assert_msg((rules[0]->targets[0].target_id ==
		       rules[1]->targets[0].target_id) ==
			      target_rows[_i].is_same,
		      "%s", target_rows[_i].name);
	rule_free(rules[0]);
	rule_free(rules[1]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rule");
	TCase *tcase = tcase_create("rule");

	tcase_add_loop_test(tcase, test_error, 0,
			    sizeof(error_rows) / sizeof(error_rows[0]));
	tcase_add_test(tcase, test_overlong);
	tcase_add_loop_test(tcase, test_target, 0,
			    sizeof(target_rows) / sizeof(target_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
