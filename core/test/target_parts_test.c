/* Tests of the slow start, the limits and the choice of targets. */
#include <core/admission.h>
#include <core/class_queue.h>
#include <core/outlier.h>
#include <core/retry_budget.h>
#include <core/slow_start.h>
#include <core/target_choice.h>
#include <core/target_limit.h>
#include <fakes/test_main.h>
#include <string.h>

/* Age and numbers of fast and slow responses of a target, and its share. */
static const struct {
	const char *name;
	int64_t age_ms;
	uint32_t fast_count;
	uint32_t slow_count;
	uint32_t share_milli;
	bool is_cold;
} slow_start_rows[] = {
	{"warm", 0, 0, 0, 1000, false},
	{"cold", 0, 0, 0, 100, true},
	{"half way", 5000, 0, 0, 550, true},
	{"over", 10000, 0, 0, 1000, true},
	{"slow answers do not help", 0, 0, 50, 100, true},
	{"prompt answers do", 0, 4, 0, 300, true},
	{"enough prompt answers end it", 0, 18, 0, 1000, true},
};

START_TEST(test_slow_start)
{
	struct slow_start start = {.started_ms = 0};

	test_row("slow_start", slow_start_rows[_i].name);
	if (slow_start_rows[_i].is_cold)
		slow_start_begin(&start, 0);
	for (uint32_t i = 0; i < slow_start_rows[_i].fast_count; i++)
		slow_start_record_response(&start, 20, 20);
	for (uint32_t i = 0; i < slow_start_rows[_i].slow_count; i++)
		slow_start_record_response(&start, 80, 20);
	ck_assert_uint_eq(
		slow_start_share_milli(&start, slow_start_rows[_i].age_ms),
		slow_start_rows[_i].share_milli);
}
END_TEST

/*
 * Numbers of responses and busy responses of a target with 3 slots, 100 ms
 * apart, and the range of its limit after them.
 */
static const struct {
	const char *name;
	uint32_t node_count;
	uint32_t response_count;
	uint32_t latency_ms;
	uint32_t busy_count;
	uint32_t min_milli;
	uint32_t max_milli;
} limit_rows[] = {
	{"alone", 1, 0, 0, 0, 4500, 4500},
	{"eight nodes", 8, 0, 0, 0, 562, 562},
	{"no nodes count as one", 0, 0, 0, 0, 4500, 4500},
	{"answers raise it", 8, 100, 20, 0, 937, 937},
	{"sheds lower it", 8, 0, 0, 5, 400, 470},
	{"never below half the share", 8, 0, 0, 1000, 187, 187},
	{"slow answers lower it", 8, 100, 200, 0, 187, 200},
};

START_TEST(test_limit)
{
	struct target_limit limit;
	int64_t now_ms = 0;

	test_row("target_limit", limit_rows[_i].name);
	target_limit_init(&limit, 3, limit_rows[_i].node_count);
	for (uint32_t i = 0; i < limit_rows[_i].response_count; i++)
		target_limit_record_response(&limit, limit_rows[_i].latency_ms,
					     20, now_ms += 100);
	for (uint32_t i = 0; i < limit_rows[_i].busy_count; i++) {
		target_limit_record_busy(&limit, 20, now_ms += 100);
		ck_assert(target_limit_is_busy(&limit, now_ms));
		ck_assert(!target_limit_is_busy(&limit, now_ms + 10));
	}
	ck_assert_uint_ge(target_limit_milli(&limit), limit_rows[_i].min_milli);
	ck_assert_uint_le(target_limit_milli(&limit), limit_rows[_i].max_milli);
	ck_assert_uint_ge(target_limit_in_flight_max(&limit), 1);
}
END_TEST

/* Two candidates, and which one is always chosen, or -1 for either. */
static const struct {
	const char *name;
	struct target_candidate candidates[2];
	uint32_t preferred_index;
	int expected;
} choice_rows[] = {
	{"fewer in flight", {{0, 2, 375, 1000}, {1, 1, 375, 1000}}, 9, 1},
	{"more slots", {{0, 1, 750, 1000}, {1, 1, 375, 1000}}, 9, 0},
	{"much slower", {{0, 1, 375, 4000}, {1, 1, 375, 1000}}, 9, 1},
	{"a little slower", {{0, 1, 375, 1400}, {1, 1, 375, 1000}}, 9, -1},
	{"just ended a request", {{0, 1, 375, 1000}, {1, 1, 375, 1000}}, 1, 1},
};

START_TEST(test_choice)
{
	GRand *rand = g_rand_new_with_seed(1);
	uint32_t counts[2] = {0, 0};

	test_row("target_choice", choice_rows[_i].name);
	for (int i = 0; i < 100; i++)
		counts[target_choice_pick(choice_rows[_i].candidates, 2,
					  choice_rows[_i].preferred_index,
					  rand)]++;
	if (choice_rows[_i].expected >= 0)
		ck_assert_uint_eq(counts[choice_rows[_i].expected], 100);
	else
		ck_assert(counts[0] > 20 && counts[1] > 20);
	ck_assert_uint_eq(target_choice_pick(NULL, 0, 0, rand), CANDIDATE_NONE);
	g_rand_free(rand);
}
END_TEST

#define ADD(test, rows)                                                        \
	tcase_add_loop_test(tcase, test, 0, sizeof(rows) / sizeof((rows)[0]))

int main(void)
{
	Suite *suite = suite_create("target_parts");
	TCase *tcase = tcase_create("parts");

	ADD(test_slow_start, slow_start_rows);
	ADD(test_limit, limit_rows);
	ADD(test_choice, choice_rows);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
