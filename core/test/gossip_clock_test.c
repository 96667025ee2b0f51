#include "rules/gossip_clock.h"

#include <fakes/test_main.h>

#define START_MS 100000

/*
 * Whether a read of the store is due at now_ms for a node that last read it at
 * last_own_read_ms, and that learned from a peer's message at message_ms of a
 * read age_ms earlier. Times are relative to the node's start at START_MS.
 */
static const struct {
	const char *name;
	int64_t last_own_read_ms;
	int64_t message_ms;
	int64_t now_ms;
	uint32_t age_ms;
	bool is_watcher;
	bool is_config_known;
	bool is_due;
} rows[] = {
	{"watcher-reads-each-second", 4000, 4900, 5000, 0, true, true, true},
	{"watcher-has-just-read", 4000, 4900, 4500, 0, true, true, false},
	{"peers-have-read-lately", 0, 20000, 21000, 100, false, true, false},
	{"peers-have-not-read-lately", 0, 20000, 20100, 6000, false, true,
	 true},
	{"no-peer-is-heard", 0, 10000, 20000, 100, false, true, true},
	{"read-lately-and-silent-for-long", 80000, 10000, 100000, 100, false,
	 true, false},
	{"read-long-ago-and-silent-for-long", 60000, 10000, 100000, 100, false,
	 true, true},
	{"start-without-peers", 0, 0, 2100, 0, false, false, true},
	{"start-waits-for-peers", 0, 0, 900, 0, false, false, false},
};

START_TEST(test_read)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct gossip_clock clock;

	test_row("gossip_clock", rows[_i].name);
	gossip_clock_init(&clock, rand);
	gossip_clock_start(&clock, START_MS);
	clock.last_own_read_ms = START_MS + rows[_i].last_own_read_ms;
	clock.now_ms = START_MS + rows[_i].message_ms;
	gossip_clock_record_store_read(&clock, rows[_i].age_ms);
	ck_assert_msg(gossip_clock_is_read_due(&clock, rows[_i].is_watcher,
					       rows[_i].is_config_known,
					       START_MS + rows[_i].now_ms) ==
			      rows[_i].is_due,
		      "%s", rows[_i].name);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("gossip_clock");
	TCase *tcase = tcase_create("read");

	tcase_add_loop_test(tcase, test_read, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
