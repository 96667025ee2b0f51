/*
 * Guards against configurations that nodes miss, or get late, when the store
 * comes back from an older copy: it then gives out again the revisions that the
 * nodes have seen, and the leases that they hold.
 */
#include "feed_fixture.h"

#include <fakes/test_main.h>
#include <signal.h>
#include <string.h>

#define TIMEOUT_MS 15000

/* The tightest deployments require a configuration in force within 3 s. */
#define CONFIG_DEADLINE_MS 3000

/*
 * lost_count changes are lost with the configuration that the copy lacks.
 * early_count changes follow before the nodes reach the store again, after the
 * next configuration, and late_count changes when they have reached it.
 */
static const struct {
	const char *name;
	uint32_t lost_count;
	uint32_t early_count;
	uint32_t late_count;
	bool is_follower;
} rows[] = {
	{"node-is-ahead-of-the-store", 5, 0, 0, false},
	{"revision-of-the-node-is-given-out-again", 5, 10, 0, false},
	{"follower-is-ahead-of-its-source", 5, 0, 0, true},
	{"revision-of-the-follower-is-given-out-again", 5, 10, 0, true},
	{"source-passes-the-revision-of-its-follower", 5, 0, 10, true},
};

static void write_others(struct feed_fixture *fixture, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		fake_kv_put(fixture->kv, "other/key", "value");
}

static void set_store_down(struct feed_fixture *fixture, bool is_down)
{
	struct fake_kv_fault fault = {.is_down = is_down};

	fake_kv_set_fault(fixture->kv, &fault);
}

static void setup(struct feed_fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->kv = relay_fixture_start_store();
	fixture->node.settings = relay_fixture_settings("node", fixture->kv);
	relay_fixture_write_config(fixture->kv, 1);
}

static void teardown(struct feed_fixture *fixture)
{
	feed_node_stop(&fixture->follower);
	feed_node_stop(&fixture->node);
	fake_kv_free(fixture->kv);
	fake_kv_free(fixture->down_kv);
}

START_TEST(test_configuration)
{
	struct feed_fixture fixture;
	struct feed_node *observer =
		rows[_i].is_follower ? &fixture.follower : &fixture.node;

	test_row("feed_restore", rows[_i].name);
	setup(&fixture);
	feed_node_start(&fixture.node);
	feed_wait_for(&fixture.node, 1, TIMEOUT_MS);
	feed_start_follower(&fixture);
	feed_wait_for(&fixture.follower, 1, TIMEOUT_MS);
	fake_kv_snapshot(fixture.kv);
	relay_fixture_write_config(fixture.kv, 2);
	write_others(&fixture, rows[_i].lost_count);
	feed_wait_for(&fixture.node, 2, TIMEOUT_MS);
	feed_wait_for(&fixture.follower, 2, TIMEOUT_MS);
	set_store_down(&fixture, true);
	fake_kv_restore(fixture.kv);
	relay_fixture_write_config(fixture.kv, 3);
	write_others(&fixture, rows[_i].early_count);
	set_store_down(&fixture, false);
	if (rows[_i].is_follower && rows[_i].late_count > 0)
		feed_wait_for(&fixture.node, 3, CONFIG_DEADLINE_MS);
	write_others(&fixture, rows[_i].late_count);
	feed_wait_for(observer, 3, CONFIG_DEADLINE_MS);
	teardown(&fixture);
}
END_TEST

/* The entry of the node and its lease are gone; it is listed again. */
START_TEST(test_own_entry)
{
	struct feed_fixture fixture;

	test_row("feed_restore", "node-is-listed-again");
	setup(&fixture);
	fake_kv_snapshot(fixture.kv);
	feed_node_start(&fixture.node);
	feed_wait_until(&fixture.node.sink.node_count, 1, TIMEOUT_MS);
	fake_kv_restore(fixture.kv);
	feed_wait_until(&fixture.node.sink.node_count, 0, TIMEOUT_MS);
	feed_wait_until(&fixture.node.sink.node_count, 1, TIMEOUT_MS);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("feed_restore");
	TCase *tcase = tcase_create("feed_restore");

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_configuration, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_own_entry);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
