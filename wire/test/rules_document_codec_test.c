#include <fakes/test_main.h>
#include <jansson.h>
#include <string.h>
#include <wire/rules_document_codec.h>
#include <wire/wire_error.h>

#define ERROR_NONE (-1)
#define TEXT "desk address=10.0.0.1:80 pool=10.1.0.1:8080 # Lin"

/*
 * Values of the store, and the value that results when the decoded document is
 * encoded again (NULL: the same) or the expected error.
 */
static const struct {
	const char *name;
	const char *value;
	const char *written;
	int error_code;
	uint64_t revision;
} rows[] = {
	{"no-value-yet", "", "{\"format\":1,\"changes\":[],\"lines\":[]}",
	 ERROR_NONE, 0},
	{"document-format-1",
	 "{\"format\":1,\"changes\":[\"ab\"],\"lines\":[{\"service\":\"desk\","
	 "\"generation\":7,\"change\":\"ab\",\"text\":\"" TEXT
	 "\",\"former\":[\"1f\"]},{\"service\":\"shop\",\"generation\":6,"
	 "\"change\":\"9\",\"deleted\":true}]}",
	 NULL, ERROR_NONE, 7},
	{"unknown-fields-are-kept",
	 "{\"format\":1,\"changes\":[],\"lines\":[{\"service\":\"desk\","
	 "\"generation\":7,\"change\":\"ab\",\"text\":\"" TEXT
	 "\",\"owner\":{\"team\":\"a\"}}],\"policy\":[1,2]}",
	 NULL, ERROR_NONE, 7},
	{"line-of-a-later-form",
	 "{\"format\":1,\"changes\":[],\"lines\":[{\"service\":\"desk\","
	 "\"generation\":8,\"change\":\"ab\",\"text\":\"desk v=9 x=1 # Lin\","
	 "\"form\":9,\"earlier\":\"" TEXT "\"}]}",
	 NULL, ERROR_NONE, 8},
	{"later-format", "{\"format\":2,\"lines\":[]}", NULL,
	 WIRE_ERROR_VERSION, 0},
	{"truncated-value", "{\"format\":1,\"changes\":[],\"li", NULL,
	 WIRE_ERROR_MALFORMED, 0},
	{"no-lines", "{\"format\":1,\"changes\":[]}", NULL,
	 WIRE_ERROR_MALFORMED, 0},
	{"line-without-a-name",
	 "{\"format\":1,\"changes\":[],\"lines\":[{\"text\":\"x\"}]}", NULL,
	 WIRE_ERROR_MALFORMED, 0},
};

static bool is_same_json(const char *a, const char *b)
{
	json_t *first = json_loads(a, 0, NULL);
	json_t *second = json_loads(b, 0, NULL);
	bool is_same = json_equal(first, second);

	json_decref(first);
	json_decref(second);
	return is_same;
}

START_TEST(test_document)
{
	GError *error = NULL;
	struct rules_document *document = rules_document_decode(
		rows[_i].value, strlen(rows[_i].value), &error);

	test_row("rules_document_codec", rows[_i].name);
	ck_assert_int_eq(error ? error->code : ERROR_NONE, rows[_i].error_code);
	if (document) {
		char *text = rules_document_encode(document);
		const char *expected =
			rows[_i].written ? rows[_i].written : rows[_i].value;

		ck_assert_msg(is_same_json(text, expected), "%s: %s",
			      rows[_i].name, text);
		ck_assert_uint_eq(rules_document_revision(document),
				  rows[_i].revision);
		g_free(text);
	}
	rules_document_free(document);
	g_clear_error(&error);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_document_codec");
	TCase *tcase = tcase_create("codec");

	tcase_add_loop_test(tcase, test_document, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
