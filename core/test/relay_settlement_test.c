/*
 * Guards against a caller that echoes the tag of a target that answered its
 * opening packet, but did not get its flow (review/1, review/6).
 */
#include "relay_steps.h"

/* Caller 1's flow is sent to A and, unanswered, to C. */
#define SENT_TWICE                                                             \
	{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},                              \
		{0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},                    \
		{0, ROUTES, 1, true, NOTHING},                                 \
		{1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},           \
	{                                                                      \
		31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)               \
	}

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"only-target-is-not-told",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 5, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {9, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {9, TOLD, 0, 0, NOTHING}}},
	{"first-target-is-told-that-the-second-has-the-flow",
	 {SENT_TWICE,
	  {39, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {39, TOLD, TARGET_A, TARGET_C, NOTHING}}},
	{"second-target-is-told-that-the-first-has-the-flow",
	 {SENT_TWICE,
	  {39, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {39, TOLD, TARGET_C, TARGET_A, NOTHING}}},
	{"targets-are-told-once",
	 {SENT_TWICE,
	  {39, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {39, TOLD, TARGET_A, TARGET_C, NOTHING},
	  {40, SENDS, 1, TARGET_A, TO(TARGET_C, REASON_TAG)},
	  {40, TOLD, 0, 0, NOTHING}}},
	{"target-of-another-node-opened-the-flow",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, READS_LATE, SECOND_COPY | 1, 0,
	   TO(TARGET_A, REASON_LEAST_LOADED)},
	  {2, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {9, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {9, TOLD, TARGET_A, TARGET_C, NOTHING}}},
	{"nobody-is-told-after-the-caller-has-given-up",
	 {SENT_TWICE,
	  {1401, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {1401, TOLD, 0, 0, NOTHING}}},
};

START_TEST(test_row_of_steps)
{
	test_row("relay_settlement", rows[_i].name);
	run_steps(rows[_i].steps);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_settlement");
	TCase *tcase = tcase_create("relay_settlement");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
