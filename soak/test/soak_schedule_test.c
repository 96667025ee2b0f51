/* Random generation, formatting, parsing and minimizing of schedules. */
#include <fakes/test_main.h>
#include <soak/soak_error.h>
#include <soak/soak_shrink.h>
#include <string.h>

#define DURATION_MS 60000
#define TRY_COUNT_MAX 100

START_TEST(test_same_seed_draws_the_same)
{
	struct soak_schedule *first = soak_schedule_draw(7, DURATION_MS);
	struct soak_schedule *second = soak_schedule_draw(7, DURATION_MS);
	struct soak_schedule *other = soak_schedule_draw(8, DURATION_MS);
	char *first_text = soak_schedule_text(first);
	char *second_text = soak_schedule_text(second);
	char *other_text = soak_schedule_text(other);

	ck_assert_uint_gt(soak_schedule_count(first), 0);
	ck_assert_str_eq(first_text, second_text);
	ck_assert_str_ne(first_text, other_text);
	g_free(first_text);
	g_free(second_text);
	g_free(other_text);
	soak_schedule_free(first);
	soak_schedule_free(second);
	soak_schedule_free(other);
}
END_TEST

START_TEST(test_text_round_trip)
{
	struct soak_schedule *drawn = soak_schedule_draw(3, DURATION_MS);
	char *text = soak_schedule_text(drawn);
	struct soak_schedule *read = soak_schedule_parse(text, NULL);
	char *again = soak_schedule_text(read);

	ck_assert_str_eq(text, again);
	g_free(text);
	g_free(again);
	soak_schedule_free(drawn);
	soak_schedule_free(read);
}
END_TEST

/* count is the number of faults, or -1 if the text is invalid. */
static const struct {
	const char *name;
	const char *text;
	int count;
} parse_cases[] = {
	{"empty", "", 0},
	{"comment", "# 1 node-kill 0 1\n\n", 0},
	{"two-lines", "1 node-kill 0 1\n2 store-down 0 1\n", 2},
	{"unknown-kind", "1 node-dances 0 1\n", -1},
	{"field-missing", "1 node-kill 0\n", -1},
	{"not-a-number", "x node-kill 0 1\n", -1},
};

START_TEST(test_parse)
{
	GError *error = NULL;
	struct soak_schedule *schedule =
		soak_schedule_parse(parse_cases[_i].text, &error);

	test_row("soak_schedule", parse_cases[_i].name);
	if (parse_cases[_i].count < 0) {
		ck_assert_ptr_null(schedule);
		ck_assert(g_error_matches(error, SOAK_ERROR,
					  SOAK_ERROR_SCHEDULE));
		g_error_free(error);
		return;
	}
	ck_assert_uint_eq(soak_schedule_count(schedule),
			  (unsigned int)parse_cases[_i].count);
	soak_schedule_free(schedule);
}
END_TEST

/* A schedule fails if it has faults of all kinds in needed. */
static const struct {
	const char *name;
	enum soak_fault_kind needed[2];
	uint32_t needed_count;
	uint32_t try_count_max;
	uint32_t remaining_max;
} shrink_cases[] = {
	{"one-fault-is-enough", {SOAK_STORE_DOWN}, 1, TRY_COUNT_MAX, 1},
	{"two-faults-are-needed",
	 {SOAK_STORE_DOWN, SOAK_NODE_PAUSE},
	 2,
	 TRY_COUNT_MAX,
	 2},
	{"no-tries-left", {SOAK_STORE_DOWN}, 1, 0, UINT32_MAX},
};

static bool has_kind(const struct soak_schedule *schedule,
		     enum soak_fault_kind kind)
{
	for (uint32_t i = 0; i < soak_schedule_count(schedule); i++) {
		if (soak_schedule_at(schedule, i)->kind == kind)
			return true;
	}
	return false;
}

static bool fails(void *context, const struct soak_schedule *schedule)
{
	const int *case_index = context;
	bool has_all = true;

	for (uint32_t i = 0; i < shrink_cases[*case_index].needed_count; i++)
		has_all =
			has_all &&
			has_kind(schedule, shrink_cases[*case_index].needed[i]);
	return has_all;
}

START_TEST(test_shrink)
{
	struct soak_shrink_options options = {shrink_cases[_i].try_count_max,
					      &_i, fails};
	struct soak_schedule *original = soak_schedule_parse(
		"1 node-kill 0 1\n2 store-down 0 1\n3 node-kill 1 1\n"
		"4 host-crash 0 1\n5 node-pause 0 1\n6 node-loss 0 1\n"
		"7 route-add 0 1\n",
		NULL);
	struct soak_schedule *shortest = soak_shrink(original, &options);

	test_row("soak_schedule", shrink_cases[_i].name);
	ck_assert(fails(&_i, shortest));
	ck_assert_uint_le(soak_schedule_count(shortest),
			  shrink_cases[_i].remaining_max);
	soak_schedule_free(original);
	soak_schedule_free(shortest);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("soak_schedule");
	TCase *tcase = tcase_create("soak_schedule");

	tcase_add_test(tcase, test_same_seed_draws_the_same);
	tcase_add_test(tcase, test_text_round_trip);
	tcase_add_loop_test(tcase, test_parse, 0, G_N_ELEMENTS(parse_cases));
	tcase_add_loop_test(tcase, test_shrink, 0, G_N_ELEMENTS(shrink_cases));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
