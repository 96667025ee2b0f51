/* Tests the reports of a zone: write rate, takeover and lost replies. */
#include "control/zone_reporter.h"

#include <fakes/fake_kv.h>
#include <fakes/test_main.h>
#include <string.h>

#define REPORTER_COUNT 2
#define STEP_COUNT_MAX 10
#define TIMEOUT_MS 2000
#define KEY "/status/north/north-a"

enum action {
	ACTION_END,
	ACTION_SET,
	ACTION_TICK,
	ACTION_LOSE_REPLY,
	ACTION_DOWN,
	ACTION_UP,
	ACTION_EXPECT_REPORT,
};

/*
 * argument is the index of a reporter or, for ACTION_LOSE_REPLY, the number of
 * replies delivered before one is lost. now_ms is for ACTION_TICK only; text is
 * the report to set or to expect.
 */
struct step {
	enum action action;
	uint32_t argument;
	int64_t now_ms;
	const char *text;
};

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"report-is-published",
	 {{ACTION_SET, 0, 0, "one"},
	  {ACTION_TICK, 0, 0, NULL},
	  {ACTION_EXPECT_REPORT, 0, 0, "one"}}},
	{"at-most-one-write-a-second",
	 {{ACTION_SET, 0, 0, "one"},
	  {ACTION_TICK, 0, 0, NULL},
	  {ACTION_SET, 0, 0, "two"},
	  {ACTION_TICK, 0, 999, NULL},
	  {ACTION_EXPECT_REPORT, 0, 0, "one"},
	  {ACTION_TICK, 0, 1000, NULL},
	  {ACTION_EXPECT_REPORT, 0, 0, "two"}}},
	{"next-reporter-takes-over",
	 {{ACTION_SET, 0, 0, "one"},
	  {ACTION_TICK, 0, 0, NULL},
	  {ACTION_SET, 1, 0, "two"},
	  {ACTION_TICK, 1, 0, NULL},
	  {ACTION_TICK, 1, 1000, NULL},
	  {ACTION_EXPECT_REPORT, 0, 0, "two"}}},
	{"report-after-an-outage",
	 {{ACTION_DOWN, 0, 0, NULL},
	  {ACTION_SET, 0, 0, "one"},
	  {ACTION_TICK, 0, 0, NULL},
	  {ACTION_UP, 0, 0, NULL},
	  {ACTION_TICK, 0, 1000, NULL},
	  {ACTION_EXPECT_REPORT, 0, 0, "one"}}},
	{"answer-to-the-report-lost",
	 {{ACTION_LOSE_REPLY, 1, 0, NULL},
	  {ACTION_SET, 0, 0, "one"},
	  {ACTION_TICK, 0, 0, NULL},
	  {ACTION_SET, 0, 0, "two"},
	  {ACTION_TICK, 0, 1000, NULL},
	  {ACTION_TICK, 0, 2000, NULL},
	  {ACTION_TICK, 0, 3000, NULL},
	  {ACTION_EXPECT_REPORT, 0, 0, "two"}}},
};

struct fixture {
	struct event_base *base;
	struct fake_kv *kv;
	struct kv_client *client;
	struct zone_reporter *reporters[REPORTER_COUNT];
	char *stored_text;
};

static void on_read(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct fixture *fixture = context;
	const struct kv_entry *entry = reply ? kv_reply_entry(reply, 0) : NULL;

	fixture->stored_text = g_strdup(entry ? entry->value : "");
	event_base_loopbreak(fixture->base);
}

static void check_report(struct fixture *fixture, const char *text,
			 const char *name)
{
	struct kv_callback callback = {fixture, on_read};

	kv_client_range(fixture->client, KEY, false, &callback);
	event_base_dispatch(fixture->base);
	ck_assert_msg(strcmp(fixture->stored_text, text) == 0, "%s: %s", name,
		      fixture->stored_text);
	g_free(fixture->stored_text);
}

static void run_step(struct fixture *fixture, const struct step *step,
		     const char *name)
{
	struct zone_reporter *reporter = fixture->reporters[step->argument % 2];
	struct fake_kv_fault fault = {.is_down = step->action == ACTION_DOWN};

	if (step->action == ACTION_LOSE_REPLY) {
		fault.lost_response_count = 1;
		fault.lost_response_skip_count = step->argument;
	}
	if (step->action == ACTION_SET)
		zone_reporter_set(reporter, g_strdup(step->text));
	else if (step->action == ACTION_TICK)
		zone_reporter_tick(reporter, true, step->now_ms);
	else if (step->action == ACTION_EXPECT_REPORT)
		check_report(fixture, step->text, name);
	else if (step->action != ACTION_END)
		fake_kv_set_fault(fixture->kv, &fault);
	while (!zone_reporter_is_idle(reporter))
		event_base_loop(fixture->base, EVLOOP_ONCE);
}

START_TEST(test_reporter)
{
	struct fake_kv_options kv_options = {.token = NULL};
	struct kv_client_options options = {.timeout_ms = TIMEOUT_MS};
	struct fixture fixture = {.base = event_base_new()};

	test_row("zone_reporter", rows[_i].name);
	endpoint_parse(&kv_options.listen, "127.0.0.1:1");
	kv_options.listen.port = 0;
	fixture.kv = fake_kv_new(&kv_options, NULL);
	options.base = fixture.base;
	options.server = fake_kv_endpoint(fixture.kv);
	fixture.client = kv_client_new(&options, NULL);
	for (int i = 0; i < REPORTER_COUNT; i++)
		fixture.reporters[i] = zone_reporter_new(fixture.client, KEY);
	for (int i = 0; i < STEP_COUNT_MAX; i++)
		run_step(&fixture, &rows[_i].steps[i], rows[_i].name);
	for (int i = 0; i < REPORTER_COUNT; i++)
		zone_reporter_free(fixture.reporters[i]);
	kv_client_free(fixture.client);
	event_base_free(fixture.base);
	fake_kv_free(fixture.kv);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("zone_reporter");
	TCase *tcase = tcase_create("reporter");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_reporter, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
