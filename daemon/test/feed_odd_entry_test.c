/*
 * Guards against a node that ends or no longer follows the store because of an
 * odd entry of another writer among those of the targets.
 */
#include "feed_fixture.h"

#include <fakes/test_main.h>
#include <signal.h>
#include <string.h>

#define WAIT_MS 10000
#define ODD_KEY "servers/i-0dd"
#define TARGET_KEY "servers/i-7f3a91c2"
#define NESTING_COUNT 100000

#define ENTRY(address, slots, rest)                                            \
	"{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"z\","       \
	"\"concurrency\":" slots ",\"state\":\"ready\","                       \
	"\"warmupRemainingMs\":0,\"version\":\"v1\",\"sequence\":1" rest "}"
#define BORN ",\"born\":1700000000123"

/*
 * The odd entry: prefix, then nested as often as NESTING_COUNT if it is not
 * NULL, then suffix.
 */
static const struct {
	const char *name;
	const char *prefix;
	const char *nested;
	const char *suffix;
} rows[] = {
	{"nested-deeply", "", "[", ""},
	{"nested-deeply-in-objects", "", "{\"a\":", ""},
	{"nested-deeply-in-a-field",
	 "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":", "[", ""},
	{"integer-too-large",
	 ENTRY("10.0.0.9:80", "99999999999999999999", BORN), NULL, ""},
	{"real-too-large", ENTRY("10.0.0.9:80", "1e999", BORN), NULL, ""},
	{"negative-integer-too-large",
	 ENTRY("10.0.0.9:80", "-99999999999999999999", BORN), NULL, ""},
	{"largest-integer", ENTRY("10.0.0.9:80", "9223372036854775807", BORN),
	 NULL, ""},
	{"start-time-too-large",
	 ENTRY("10.0.0.9:80", "3", ",\"born\":99999999999999999999"), NULL, ""},
	{"port-out-of-range", ENTRY("10.0.0.9:65536", "3", BORN), NULL, ""},
	{"port-too-large", ENTRY("10.0.0.9:99999999999999999999", "3", BORN),
	 NULL, ""},
	{"port-zero", ENTRY("10.0.0.9:0", "3", BORN), NULL, ""},
	{"port-negative", ENTRY("10.0.0.9:-1", "3", BORN), NULL, ""},
	{"number-with-many-digits", "{\"service\":\"s\",\"concurrency\":", "1",
	 "}"},
	{"string-without-an-end", "{\"service\":\"", "x", ""},
	{"character-zero-in-a-string", ENTRY("10.0.0.9:80\\u0000", "3", BORN),
	 NULL, ""},
	{"half-a-character", ENTRY("10.0.0.9:80\\ud800", "3", BORN), NULL, ""},
};

static char *odd_value(int row)
{
	GString *text = g_string_new(rows[row].prefix);

	for (uint32_t i = 0; rows[row].nested && i < NESTING_COUNT; i++)
		g_string_append(text, rows[row].nested);
	g_string_append(text, rows[row].suffix);
	return g_string_free(text, FALSE);
}

static void write_odd(struct fake_kv *kv, int row)
{
	char *value = odd_value(row);

	fake_kv_put(kv, ODD_KEY, value);
	g_free(value);
}

static void setup(struct feed_fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->kv = relay_fixture_start_store();
	fixture->node.settings = relay_fixture_settings("node", fixture->kv);
	relay_fixture_write_config(fixture->kv, 1);
	fake_kv_put(fixture->kv, TARGET_KEY, ENTRY("10.0.0.8:80", "3", BORN));
}

static void teardown(struct feed_fixture *fixture)
{
	feed_node_stop(&fixture->follower);
	feed_node_stop(&fixture->node);
	if (fixture->down_kv)
		fake_kv_free(fixture->down_kv);
	fake_kv_free(fixture->kv);
}

/* The entry is there when the node starts, and is written again later. */
START_TEST(test_odd_entry)
{
	struct feed_fixture fixture;

	test_row("feed_odd_entry", rows[_i].name);
	setup(&fixture);
	write_odd(fixture.kv, _i);
	feed_node_start(&fixture.node);
	feed_wait_for(&fixture.node, 1, WAIT_MS);
	feed_wait_until(&fixture.node.sink.target_count, 1, WAIT_MS);
	write_odd(fixture.kv, _i);
	relay_fixture_write_config(fixture.kv, 2);
	feed_wait_for(&fixture.node, 2, WAIT_MS);
	feed_start_follower(&fixture);
	feed_wait_for(&fixture.follower, 2, WAIT_MS);
	feed_wait_until(&fixture.follower.sink.target_count, 1, WAIT_MS);
	write_odd(fixture.kv, _i);
	relay_fixture_write_config(fixture.kv, 3);
	feed_wait_for(&fixture.follower, 3, WAIT_MS);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("feed_odd_entry");
	TCase *tcase = tcase_create("feed_odd_entry");

	signal(SIGPIPE, SIG_IGN);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_odd_entry, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
