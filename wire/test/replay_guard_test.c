#include <fakes/test_main.h>
#include <glib.h>
#include <wire/replay_guard.h>

#define NOW_S 1000000
#define MESSAGE_COUNT_MAX 4

/*
 * Sequence numbers of one sender (0: no message), the time at which the last
 * message was sent, and the expected verdict on it.
 */
static const struct {
	const char *name;
	uint32_t sequences[MESSAGE_COUNT_MAX];
	uint32_t last_sent_s;
	uint32_t last_received_s;
	enum replay_verdict verdict;
} rows[] = {
	{"in-order", {1, 2, 3, 4}, NOW_S, NOW_S, REPLAY_FRESH},
	{"reordered", {1, 4, 3, 2}, NOW_S, NOW_S, REPLAY_FRESH},
	{"replayed", {1, 2, 3, 2}, NOW_S, NOW_S, REPLAY_SEEN},
	{"first-replayed", {7, 8, 9, 7}, NOW_S, NOW_S, REPLAY_SEEN},
	{"before-first-heard",
	 {500, 501, 502, 499},
	 NOW_S,
	 NOW_S,
	 REPLAY_FRESH},
	{"oldest-in-window", {1, 2, 1023, 63}, NOW_S, NOW_S, REPLAY_FRESH},
	{"below-window", {1, 2, 2000, 3}, NOW_S, NOW_S, REPLAY_OUTSIDE_WINDOW},
	{"replayed-after-jump",
	 {1, 5000, 90000, 90000},
	 NOW_S,
	 NOW_S,
	 REPLAY_SEEN},
	{"cleared-by-jump",
	 {5, 6, 1024 + 64, 1024 + 6},
	 NOW_S,
	 NOW_S,
	 REPLAY_FRESH},
	{"known-sender-clock-steps",
	 {1, 2, 3, 4},
	 NOW_S - 4000,
	 NOW_S,
	 REPLAY_FRESH},
	{"unknown-sender-too-old",
	 {0, 0, 0, 4},
	 NOW_S - 301,
	 NOW_S,
	 REPLAY_CLOCK_SKEW},
	{"unknown-sender-from-future",
	 {0, 0, 0, 4},
	 NOW_S + 301,
	 NOW_S,
	 REPLAY_CLOCK_SKEW},
	{"unknown-sender-just-in-time",
	 {0, 0, 0, 4},
	 NOW_S - 300,
	 NOW_S,
	 REPLAY_FRESH},
};

START_TEST(test_window)
{
	struct replay_guard *guard = replay_guard_new(16);
	enum replay_verdict verdict = REPLAY_FRESH;

	test_row("replay", rows[_i].name);
	for (uint32_t i = 0; i < MESSAGE_COUNT_MAX; i++) {
		bool is_last = i == MESSAGE_COUNT_MAX - 1;
		struct rpc_message message = {
			.sender_id = 9,
			.sequence = rows[_i].sequences[i],
			.sent_s = is_last ? rows[_i].last_sent_s : NOW_S,
		};

		if (message.sequence > 0)
			verdict = replay_guard_check(guard, &message, NOW_S);
	}
	ck_assert_msg(verdict == rows[_i].verdict, "%s: %s", rows[_i].name,
		      replay_verdict_name(verdict));
	replay_guard_free(guard);
}
END_TEST

/* The number of tracked senders stays within its limit. */
START_TEST(test_sender_limit)
{
	struct replay_guard *guard = replay_guard_new(8);

	test_row("replay", "more-senders-than-room");
	for (uint64_t sender = 1; sender <= 100; sender++) {
		struct rpc_message message = {
			.sender_id = sender, .sequence = 1, .sent_s = NOW_S};

		ck_assert_int_eq(replay_guard_check(guard, &message, NOW_S),
				 REPLAY_FRESH);
		ck_assert_uint_le(replay_guard_sender_count(guard), 8);
	}
	replay_guard_free(guard);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("replay_guard");
	TCase *tcase = tcase_create("replay_guard");

	tcase_add_loop_test(tcase, test_window, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tcase, test_sender_limit);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
