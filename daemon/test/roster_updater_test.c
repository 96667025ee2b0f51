/* Tests two roster updaters that share one fake key-value store. */
#include "claims/roster_updater.h"

#include <fakes/fake_kv.h>
#include <fakes/test_main.h>
#include <string.h>

#define NODE_COUNT 5
#define UPDATER_COUNT 2
#define STEP_COUNT_MAX 12
#define TIMEOUT_MS 2000

enum action {
	ACTION_END,
	ACTION_TICK,
	ACTION_TICK_READER,
	ACTION_FAIL_NODE,
	ACTION_LOSE_REPLY,
	ACTION_SNAPSHOT,
	ACTION_RESTORE,
	ACTION_EXPECT_EPOCH,
};

/*
 * ACTION_TICK and ACTION_TICK_READER use updater and now_ms. ACTION_LOSE_REPLY
 * loses one reply after passed_reply_count others. ACTION_EXPECT_EPOCH checks
 * the epoch of the current roster of checked_updater.
 */
struct step {
	enum action action;
	union {
		uint64_t updater;
		uint64_t passed_reply_count;
		uint64_t expected_epoch;
	};
	union {
		int64_t now_ms;
		int64_t checked_updater;
	};
};

/* A tick reads if the last read is 2 s old; otherwise it may write. */
static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"first-roster",
	 {{ACTION_TICK, .updater = 0, .now_ms = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 100},
	  {ACTION_TICK, .updater = 0, .now_ms = 5000},
	  {ACTION_TICK, .updater = 0, .now_ms = 5200},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 1, .checked_updater = 0}}},
	{"reader-writes-nothing",
	 {{ACTION_TICK_READER, .updater = 0, .now_ms = 0},
	  {ACTION_TICK_READER, .updater = 0, .now_ms = 100},
	  {ACTION_TICK_READER, .updater = 0, .now_ms = 5000},
	  {ACTION_TICK_READER, .updater = 0, .now_ms = 5200},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 0, .checked_updater = 0}}},
	{"paused-writer-undoes-nothing",
	 {{ACTION_TICK, .updater = 0, .now_ms = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 100},
	  {ACTION_TICK, .updater = 1, .now_ms = 0},
	  {ACTION_TICK, .updater = 1, .now_ms = 100},
	  {ACTION_TICK, .updater = 0, .now_ms = 5200},
	  {ACTION_TICK, .updater = 1, .now_ms = 5200},
	  {ACTION_TICK, .updater = 1, .now_ms = 5300},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 1, .checked_updater = 1},
	  {ACTION_TICK, .updater = 0, .now_ms = 5300},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 0, .checked_updater = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 5400},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 1, .checked_updater = 0}}},
	{"answer-to-the-lease-lost",
	 {{ACTION_TICK, .updater = 0, .now_ms = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 100},
	  {ACTION_LOSE_REPLY, .passed_reply_count = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 5000},
	  {ACTION_TICK, .updater = 0, .now_ms = 5200},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 0, .checked_updater = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 9000},
	  {ACTION_TICK, .updater = 0, .now_ms = 9200},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 1, .checked_updater = 0}}},
	{"answer-to-the-roster-lost",
	 {{ACTION_TICK, .updater = 0, .now_ms = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 100},
	  {ACTION_LOSE_REPLY, .passed_reply_count = 2},
	  {ACTION_TICK, .updater = 0, .now_ms = 5000},
	  {ACTION_TICK, .updater = 0, .now_ms = 5200},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 0, .checked_updater = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 9000},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 1, .checked_updater = 0}}},
	{"roster-of-a-restored-store-is-written-back",
	 {{.action = ACTION_SNAPSHOT},
	  {ACTION_TICK, .updater = 0, .now_ms = 0},
	  {ACTION_TICK, .updater = 0, .now_ms = 100},
	  {ACTION_TICK, .updater = 0, .now_ms = 5000},
	  {ACTION_TICK, .updater = 0, .now_ms = 5200},
	  {.action = ACTION_RESTORE},
	  {ACTION_TICK, .updater = 0, .now_ms = 8000},
	  {ACTION_TICK, .updater = 0, .now_ms = 8200},
	  {ACTION_TICK_READER, .updater = 1, .now_ms = 0},
	  {ACTION_EXPECT_EPOCH, .expected_epoch = 1, .checked_updater = 1}}},
};

/* An updater, and the roster of the highest epoch that it has reported. */
struct instance {
	struct roster_updater *updater;
	struct roster current;
};

struct fixture {
	struct event_base *base;
	struct fake_kv *kv;
	struct kv_client *client;
	struct instance instances[UPDATER_COUNT];
	struct node_view *view;
};

static void on_roster(void *context, const struct roster *roster)
{
	struct instance *instance = context;

	if (roster->epoch > instance->current.epoch)
		instance->current = *roster;
}

static void on_failed(void *context, const char *reason)
{
}

static void setup(struct fixture *fixture)
{
	struct fake_kv_options kv_options = {.token = NULL};
	struct kv_client_options options = {.timeout_ms = TIMEOUT_MS};
	struct node *nodes = g_new0(struct node, NODE_COUNT);

	memset(fixture, 0, sizeof(*fixture));
	endpoint_parse(&kv_options.listen, "127.0.0.1:1");
	kv_options.listen.port = 0;
	fixture->kv = fake_kv_new(&kv_options, NULL);
	fixture->base = event_base_new();
	options.base = fixture->base;
	options.server = fake_kv_endpoint(fixture->kv);
	fixture->client = kv_client_new(&options, NULL);
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		nodes[i] = (struct node){.node_id = i + 1,
					 .zone_id = 1 + i % 2,
					 .state = NODE_SERVING};
	fixture->view = node_view_new(1, 1, nodes, NODE_COUNT);
	g_free(nodes);
	for (uint32_t i = 0; i < UPDATER_COUNT; i++) {
		struct roster_updater_options updater_options = {
			.client = fixture->client,
			.key = "/roster",
			.lease_key = "/roster-lease",
			.context = &fixture->instances[i],
			.on_roster = on_roster,
			.on_failed = on_failed,
		};

		fixture->instances[i].updater =
			roster_updater_new(&updater_options);
	}
}

static void teardown(struct fixture *fixture)
{
	for (uint32_t i = 0; i < UPDATER_COUNT; i++)
		roster_updater_free(fixture->instances[i].updater);
	node_view_free(fixture->view);
	kv_client_free(fixture->client);
	event_base_free(fixture->base);
	fake_kv_free(fixture->kv);
}

static void tick(struct fixture *fixture, const struct step *step)
{
	struct instance *instance = &fixture->instances[step->updater];
	struct roster_updater_inputs inputs = {
		.is_reader = true,
		.is_writer = step->action == ACTION_TICK,
		.nodes = fixture->view,
		.current = &instance->current,
	};

	roster_updater_tick(instance->updater, &inputs, step->now_ms);
	while (!roster_updater_is_idle(instance->updater))
		event_base_loop(fixture->base, EVLOOP_ONCE);
}

static void run_step(struct fixture *fixture, const struct step *step,
		     const char *name)
{
	struct fake_kv_fault fault = {.delay_ms = 0};

	switch (step->action) {
	case ACTION_TICK:
	case ACTION_TICK_READER:
		tick(fixture, step);
		break;
	case ACTION_LOSE_REPLY:
		fault.lost_response_count = 1;
		fault.lost_response_skip_count =
			(uint32_t)step->passed_reply_count;
		fake_kv_set_fault(fixture->kv, &fault);
		break;
	case ACTION_SNAPSHOT:
		fake_kv_snapshot(fixture->kv);
		break;
	case ACTION_RESTORE:
		fake_kv_restore(fixture->kv);
		break;
	case ACTION_EXPECT_EPOCH:
		ck_assert_msg(fixture->instances[step->checked_updater]
					      .current.epoch ==
				      step->expected_epoch,
			      "%s: epoch %d", name, (int)step->expected_epoch);
		break;
	default:
		break;
	}
}

START_TEST(test_updater)
{
	struct fixture fixture;

	test_row("roster_keeper", rows[_i].name);
	setup(&fixture);
	for (int i = 0; i < STEP_COUNT_MAX; i++)
		run_step(&fixture, &rows[_i].steps[i], rows[_i].name);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("roster_updater");
	TCase *tcase = tcase_create("roster_updater");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_updater, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
