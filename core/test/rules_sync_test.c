#include <core/rules_sync.h>
#include <fakes/test_main.h>
#include <string.h>

#define STEP_MAX 14

enum action {
	ACTION_END,
	ACTION_SAVE,
	ACTION_READ,
	ACTION_FAIL_READ,
	ACTION_WRITE,
	ACTION_WRITE_REPLY_LOST,
	ACTION_WRITE_REQUEST_LOST,
	ACTION_DELIVER_LATE_WRITE,
	ACTION_WRITE_BY_OTHER,
	ACTION_RETRY,
	ACTION_EXPECT_VERDICT,
	ACTION_EXPECT_STORED,
};

/*
 * text is the version of the line that is saved, written or expected, or the
 * expected verdict.
 */
struct step {
	enum action action;
	const char *text;
};

static const struct {
	const char *name;
	struct step steps[STEP_MAX];
} rows[] = {
	{"written",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_EXPECT_VERDICT, "accepted"},
	  {ACTION_EXPECT_STORED, "1"}}},
	{"read-fails",
	 {{ACTION_SAVE, "1"},
	  {ACTION_FAIL_READ, NULL},
	  {ACTION_RETRY, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_EXPECT_STORED, "1"}}},
	{"answer-lost-after-the-effect",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE_REPLY_LOST, NULL},
	  {ACTION_RETRY, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_EXPECT_VERDICT, "accepted"},
	  {ACTION_EXPECT_STORED, "1"}}},
	{"request-lost-before-the-effect",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE_REQUEST_LOST, NULL},
	  {ACTION_RETRY, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_EXPECT_VERDICT, "accepted"},
	  {ACTION_EXPECT_STORED, "1"}}},
	{"late-write-lands-behind-the-second",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE_REQUEST_LOST, NULL},
	  {ACTION_SAVE, "2"},
	  {ACTION_RETRY, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_DELIVER_LATE_WRITE, NULL},
	  {ACTION_EXPECT_STORED, "2"}}},
	{"late-write-lands-before-the-second",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE_REQUEST_LOST, NULL},
	  {ACTION_SAVE, "2"},
	  {ACTION_RETRY, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_DELIVER_LATE_WRITE, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_EXPECT_VERDICT, "accepted"},
	  {ACTION_EXPECT_STORED, "2"}}},
	{"lost-answer-and-then-changed-by-another",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE_REPLY_LOST, NULL},
	  {ACTION_WRITE_BY_OTHER, "9"},
	  {ACTION_RETRY, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_EXPECT_VERDICT, "changed_elsewhere"},
	  {ACTION_EXPECT_STORED, "9"}}},
	{"another-comes-first",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE_BY_OTHER, "9"},
	  {ACTION_WRITE, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_EXPECT_VERDICT, "conflict"},
	  {ACTION_EXPECT_STORED, "9"}}},
	{"saved-again-while-writing",
	 {{ACTION_SAVE, "1"},
	  {ACTION_READ, NULL},
	  {ACTION_SAVE, "2"},
	  {ACTION_WRITE, NULL},
	  {ACTION_READ, NULL},
	  {ACTION_WRITE, NULL},
	  {ACTION_EXPECT_VERDICT, "accepted"},
	  {ACTION_EXPECT_STORED, "2"}}},
};

/*
 * A fake store, the last write that was started, and a late write, whose
 * request is delivered only after it was reported as lost.
 */
struct fixture {
	struct rules_sync *sync;
	struct rules_document *store;
	int64_t mod_revision;
	struct rules_document *sent_document;
	int64_t expected_mod_revision;
	struct rules_document *late_document;
	int64_t late_mod_revision;
	enum rules_verdict verdict;
	uint64_t now_ms;
};

static void ignore_call(void *context)
{
}

static void on_write(void *context, const struct rules_document *document,
		     int64_t expected_mod_revision)
{
	struct fixture *fixture = context;

	rules_document_free(fixture->sent_document);
	fixture->sent_document = rules_document_copy(document);
	fixture->expected_mod_revision = expected_mod_revision;
}

static void on_outcome(void *context, const struct rules_merge *merge,
		       const struct rules_base *base)
{
	struct fixture *fixture = context;

	fixture->verdict = rules_merge_at(merge, 0)->verdict;
}

static bool store_write(struct fixture *fixture,
			const struct rules_document *document, int64_t expected)
{
	if (expected != fixture->mod_revision)
		return false;
	rules_document_free(fixture->store);
	fixture->store = rules_document_copy(document);
	fixture->mod_revision++;
	return true;
}

static char *format_line(const char *version)
{
	return g_strdup_printf("desk address=10.0.0.1:80 pool=10.1.0.1:80 "
			       "# version %s",
			       version);
}

static void save(struct fixture *fixture, const char *version)
{
	char *line = format_line(version);

	rules_sync_set_text(fixture->sync, rules_text_new(line, strlen(line)));
	g_free(line);
}

/* Writes another operator's edit of the stored line to the store. */
static void write_by_other(struct fixture *fixture, const char *version)
{
	struct rules_document *document = rules_document_copy(fixture->store);
	char *text = format_line(version);
	struct rules_line *line =
		rules_line_next(rules_document_find(document, "desk"), "desk",
				text, RULE_FORM_FIRST);

	line->generation = ++fixture->now_ms;
	rules_document_put(document, line);
	store_write(fixture, document, fixture->mod_revision);
	rules_document_free(document);
	g_free(text);
}

static void capture_late_write(struct fixture *fixture)
{
	rules_document_free(fixture->late_document);
	fixture->late_document = rules_document_copy(fixture->sent_document);
	fixture->late_mod_revision = fixture->expected_mod_revision;
}

static void expect_stored(const struct fixture *fixture, const char *version,
			  const char *name)
{
	const struct rules_line *line =
		rules_document_find(fixture->store, "desk");
	char *text = format_line(version);

	ck_assert_msg(line && strcmp(line->text, text) == 0, "%s: stored",
		      name);
	g_free(text);
}

static void run_call(struct fixture *fixture, const struct step *step)
{
	bool is_written = false;

	if (step->action == ACTION_WRITE ||
	    step->action == ACTION_WRITE_REPLY_LOST)
		is_written = store_write(fixture, fixture->sent_document,
					 fixture->expected_mod_revision);
	if (step->action == ACTION_READ)
		rules_sync_handle_document(fixture->sync, fixture->store,
					   fixture->mod_revision,
					   ++fixture->now_ms);
	if (step->action == ACTION_FAIL_READ)
		rules_sync_handle_read_failure(fixture->sync);
	if (step->action == ACTION_WRITE)
		rules_sync_handle_write_result(fixture->sync, is_written);
	if (step->action == ACTION_WRITE_REQUEST_LOST)
		capture_late_write(fixture);
	if (step->action == ACTION_WRITE_REPLY_LOST ||
	    step->action == ACTION_WRITE_REQUEST_LOST)
		rules_sync_handle_unconfirmed_write(fixture->sync);
	if (step->action == ACTION_DELIVER_LATE_WRITE)
		store_write(fixture, fixture->late_document,
			    fixture->late_mod_revision);
}

static void run_step(struct fixture *fixture, const struct step *step,
		     const char *name)
{
	if (step->action == ACTION_SAVE)
		save(fixture, step->text);
	else if (step->action == ACTION_WRITE_BY_OTHER)
		write_by_other(fixture, step->text);
	else if (step->action == ACTION_RETRY)
		rules_sync_retry(fixture->sync);
	else if (step->action == ACTION_EXPECT_STORED)
		expect_stored(fixture, step->text, name);
	else if (step->action == ACTION_EXPECT_VERDICT)
		ck_assert_msg(strcmp(rules_verdict_name(fixture->verdict),
				     step->text) == 0,
			      "%s: %s", name,
			      rules_verdict_name(fixture->verdict));
	else
		run_call(fixture, step);
}

START_TEST(test_sync)
{
	struct fixture fixture = {.store = rules_document_new()};
	struct rules_sync_options options = {
		.seed = 1,
		.context = &fixture,
		.read = ignore_call,
		.write = on_write,
		.schedule_retry = ignore_call,
		.report_outcomes = on_outcome,
	};

	test_row("rules_sync", rows[_i].name);
	fixture.sync = rules_sync_new(&options, rules_base_new());
	for (int i = 0; i < STEP_MAX && rows[_i].steps[i].action; i++)
		run_step(&fixture, &rows[_i].steps[i], rows[_i].name);
	ck_assert(rules_sync_is_idle(fixture.sync));
	rules_sync_free(fixture.sync);
	rules_document_free(fixture.store);
	rules_document_free(fixture.sent_document);
	rules_document_free(fixture.late_document);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_sync");
	TCase *tcase = tcase_create("sync");

	tcase_add_loop_test(tcase, test_sync, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
