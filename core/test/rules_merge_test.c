#include <core/rules_merge.h>
#include <fakes/test_main.h>
#include <string.h>

#define OPERATOR_COUNT 3
#define STEP_MAX 6

/*
 * One save of an operator's file and the expected result. The word "desk/2" in
 * file is replaced by a rule line of service desk with the comment "asked by
 * 2"; a word that starts with "!" is a literal line, with "_" for blanks.
 * expected lists name=verdict pairs, and stored the lines then in the store, as
 * words of the same syntax.
 */
struct step {
	uint32_t operator_index;
	const char *file;
	const char *expected;
	const char *stored;
};

struct merge_row {
	const char *name;
	struct step steps[STEP_MAX];
};

static const struct merge_row rows[] = {
	{"first-lines",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted",
	   "desk/1 shop/1"}}},
	{"two-operators-on-two-lines",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {1, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "desk/2 shop/1", "desk=accepted shop=accepted", "desk/2 shop/1"},
	  {1, "desk/1 shop/2", "desk=changed_elsewhere shop=accepted",
	   "desk/2 shop/2"}}},
	{"two-operators-race-on-one-line",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {1, "desk/1", "desk=accepted", "desk/1"},
	  {0, "desk/2", "desk=accepted", "desk/2"},
	  {1, "desk/3", "desk=conflict", "desk/2"},
	  {1, "desk/3", "desk=conflict", "desk/2"},
	  {1, "desk/4", "desk=accepted", "desk/4"}}},
	{"three-operators-race-on-one-line",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {1, "desk/1", "desk=accepted", "desk/1"},
	  {2, "desk/1", "desk=accepted", "desk/1"},
	  {2, "desk/2", "desk=accepted", "desk/2"},
	  {1, "desk/3", "desk=conflict", "desk/2"},
	  {0, "desk/4", "desk=conflict", "desk/2"}}},
	{"stale-copy-saved-over",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {0, "desk/2", "desk=accepted", "desk/2"},
	  {0, "desk/1", "desk=stale", "desk/2"},
	  {0, "desk/1", "desk=conflict", "desk/2"},
	  {0, "desk/2", "desk=accepted", "desk/2"}}},
	{"stale-copy-of-a-deleted-line",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "shop/1", "desk=deleted shop=accepted", "shop/1"},
	  {0, "desk/1 shop/1", "desk=stale shop=accepted", "shop/1"},
	  {0, "desk/2 shop/1", "desk=accepted shop=accepted",
	   "desk/2 shop/1"}}},
	{"stranger-with-an-old-copy",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {0, "desk/2", "desk=accepted", "desk/2"},
	  {1, "desk/1", "desk=stale", "desk/2"}}},
	{"stranger-with-another-text",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {1, "desk/9", "desk=conflict", "desk/1"},
	  {1, "desk/8", "desk=accepted", "desk/8"}}},
	{"stranger-without-a-line-deletes-nothing",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {1, "shop/1", "shop=accepted", "desk/1 shop/1"}}},
	{"deleted-by-one-and-changed-by-another",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {1, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "desk/2 shop/1", "desk=accepted shop=accepted", "desk/2 shop/1"},
	  {1, "shop/1", "desk=conflict shop=accepted", "desk/2 shop/1"},
	  {1, "shop/1", "shop=accepted", "desk/2 shop/1"}}},
	{"changed-by-one-and-deleted-by-another",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {1, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "shop/1", "desk=deleted shop=accepted", "shop/1"},
	  {1, "desk/2 shop/1", "desk=conflict shop=accepted", "shop/1"}}},
	{"file-emptied-by-accident",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "", "desk=held shop=held", "desk/1 shop/1"},
	  {0, "!#_confirm-deletions=7_asked_by_Lin", "desk=held shop=held",
	   "desk/1 shop/1"},
	  {0, "!#_confirm-deletions=1001_asked_by_Lin",
	   "desk=deleted shop=deleted", ""}}},
	{"file-cut-in-half-by-accident",
	 {{0, "a/1 b/1 c/1 d/1", "a=accepted b=accepted c=accepted d=accepted",
	   "a/1 b/1 c/1 d/1"},
	  {0, "a/1", "b=held c=held d=held a=accepted", "a/1 b/1 c/1 d/1"}}},
	{"old-confirmation",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "!#_confirm-deletions=1001_asked_by_Lin",
	   "desk=deleted shop=deleted", ""},
	  {0, "desk/3 !#_confirm-deletions=1001_asked_by_Lin", "desk=accepted",
	   "desk/3"},
	  {0, "!#_confirm-deletions=1001_asked_by_Lin", "desk=held",
	   "desk/3"}}},
	{"bad-line-keeps-its-earlier-text",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "!desk_address=1 shop/2", "desk=rejected shop=accepted",
	   "desk/1 shop/2"}}},
	{"unreadable-name-holds-deletions",
	 {{0, "desk/1 shop/1", "desk=accepted shop=accepted", "desk/1 shop/1"},
	  {0, "!address=10.0.0.1:80 shop/2",
	   "desk=held =rejected shop=accepted", "desk/1 shop/2"}}},
	{"later-form-is-held",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {0, "!desk_v=9_new=1_#_Lin", "desk=held", "desk/1"}}},
	{"address of another operator's service",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {1, "!shop_address=10.0.0.100:80_pool=10.1.0.1:80_#_Lin", "shop=held",
	   "desk/1"}}},
	{"address-moves-from-one-line-to-another",
	 {{0, "desk/1", "desk=accepted", "desk/1"},
	  {0,
	   "!desk_address=10.0.0.9:80_pool=10.1.0.1:80_#_Lin "
	   "!shop_address=10.0.0.100:80_pool=10.1.0.1:80_#_Lin",
	   "desk=accepted shop=accepted",
	   "!desk_address=10.0.0.9:80_pool=10.1.0.1:80_#_Lin "
	   "!shop_address=10.0.0.100:80_pool=10.1.0.1:80_#_Lin"}}},
};

/* Expands a word to a line; the service's first letter gives its address. */
static char *expand_word(const char *word)
{
	const char *slash = strchr(word, '/');

	if (*word == '!')
		return g_strdelimit(g_strdup(word + 1), "_", ' ');
	return g_strdup_printf("%.*s address=10.0.0.%d:80 pool=10.1.0.1:8080 "
			       "# asked by %s",
			       (int)(slash - word), word, word[0], slash + 1);
}

static struct rules_text *read_file(const char *words)
{
	char **parts = g_strsplit(words, " ", -1);
	GString *bytes = g_string_new(NULL);
	struct rules_text *text;

	for (char **part = parts; *part; part++) {
		char *line = expand_word(*part);

		g_string_append_printf(bytes, "%s\n", **part ? line : "");
		g_free(line);
	}
	text = rules_text_new(bytes->str, bytes->len);
	g_string_free(bytes, TRUE);
	g_strfreev(parts);
	return text;
}

static void check_outcomes(const struct rules_merge *merge,
			   const struct step *step, const char *name)
{
	GString *found = g_string_new(NULL);

	for (uint32_t i = 0; i < rules_merge_count(merge); i++) {
		const struct rules_outcome *outcome = rules_merge_at(merge, i);

		g_string_append_printf(found, "%s%s=%s", i ? " " : "",
				       outcome->name,
				       rules_verdict_name(outcome->verdict));
	}
	ck_assert_msg(strcmp(found->str, step->expected) == 0, "%s: %s: %s",
		      name, step->file, found->str);
	g_string_free(found, TRUE);
}

static void check_stored(const struct rules_document *document,
			 const struct step *step, const char *name)
{
	char **words = g_strsplit(step->stored, " ", -1);
	uint32_t count = 0;

	for (uint32_t i = 0; i < rules_document_count(document); i++)
		count += rules_document_at(document, i)->is_deleted ? 0 : 1;
	for (char **word = words; *word; word++) {
		char *text = expand_word(*word);
		char *service = g_strndup(text, strcspn(text, " "));
		const struct rules_line *line =
			rules_document_find(document, service);

		ck_assert_msg(line && strcmp(line->text, text) == 0,
			      "%s: %s: %s", name, step->file, *word);
		g_free(service);
		g_free(text);
		count--;
	}
	ck_assert_msg(count == 0, "%s: %s: more lines than %s", name,
		      step->file, step->stored);
	g_strfreev(words);
}

/*
 * Reads, merges and writes, like rules_sync, but without concurrent writes. The
 * first write has revision 1001, which the rows' confirmations name.
 */
static void run_step(const struct merge_row *row, uint32_t index,
		     struct rules_document **document,
		     struct rules_base **bases)
{
	const struct step *step = &row->steps[index];
	struct rules_text *text = read_file(step->file);
	struct rules_merge_options options = {
		.text = text,
		.base = bases[step->operator_index],
		.document = *document,
		.change_id = index + 1,
		.now_ms = 1001 + index,
	};
	struct rules_merge *merge = rules_merge_new(&options);

	check_outcomes(merge, step, row->name);
	check_stored(rules_merge_document(merge), step, row->name);
	rules_document_free(*document);
	rules_base_free(bases[step->operator_index]);
	*document = rules_document_copy(rules_merge_document(merge));
	bases[step->operator_index] = rules_base_copy(rules_merge_base(merge));
	rules_merge_free(merge);
	rules_text_free(text);
}

START_TEST(test_merge)
{
	const struct merge_row *row = &rows[_i];
	struct rules_document *document = rules_document_new();
	struct rules_base *bases[OPERATOR_COUNT];

	test_row("rules_merge", row->name);
	for (uint32_t i = 0; i < OPERATOR_COUNT; i++)
		bases[i] = rules_base_new();
	for (uint32_t i = 0; i < STEP_MAX && row->steps[i].file; i++)
		run_step(row, i, &document, bases);
	for (uint32_t i = 0; i < OPERATOR_COUNT; i++)
		rules_base_free(bases[i]);
	rules_document_free(document);
}
END_TEST

/* At PAD_BYTES each, these leave no room in RULES_DOCUMENT_BYTES_MAX. */
#define PAD_LINE_COUNT 31
#define PAD_BYTES 31955

/* The size of each stored line, and the verdict on adding one more line. */
static const struct {
	const char *name;
	uint32_t pad_bytes;
	const char *verdict;
} size_rows[] = {
	{"below-1-mb-a-line-fits", PAD_BYTES - 1000, "accepted"},
	{"near-1-mb-a-line-is-held", PAD_BYTES, "held"},
};

static struct rules_document *padded_document(uint32_t pad_bytes)
{
	struct rules_document *document = rules_document_new();
	char *padding = g_strnfill(pad_bytes, 'x');

	for (uint32_t i = 0; i < PAD_LINE_COUNT; i++) {
		char name[SERVICE_NAME_BYTES];
		struct rules_line *line;

		snprintf(name, sizeof(name), "pad-%u", i);
		line = rules_line_new(name, padding);
		line->generation = 1 + i;
		rules_document_put(document, line);
	}
	g_free(padding);
	return document;
}

START_TEST(test_size)
{
	struct rules_document *document =
		padded_document(size_rows[_i].pad_bytes);
	struct rules_base *base = rules_base_new();
	struct rules_text *text = read_file("desk/1");
	struct rules_merge_options options = {.text = text,
					      .base = base,
					      .document = document,
					      .change_id = 1,
					      .now_ms = 2000};
	struct rules_merge *merge = rules_merge_new(&options);

	test_row("rules_merge", size_rows[_i].name);
	ck_assert_str_eq(rules_verdict_name(rules_merge_at(merge, 0)->verdict),
			 size_rows[_i].verdict);
	ck_assert_uint_le(
		rules_document_size_bytes(rules_merge_document(merge)),
		RULES_DOCUMENT_BYTES_MAX);
	rules_merge_free(merge);
	rules_text_free(text);
	rules_base_free(base);
	rules_document_free(document);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_merge");
	TCase *tcase = tcase_create("merge");

	tcase_add_loop_test(tcase, test_merge, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_loop_test(tcase, test_size, 0,
			    sizeof(size_rows) / sizeof(size_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
