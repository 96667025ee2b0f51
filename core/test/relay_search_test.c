/*
 * Guards against a caller that echoes the wrong target because its flow was
 * opened by a node of one zone and carried by one of another (review/1).
 */
#include "relay_steps.h"

/* Two flows from the same port. */
#define EARLIER 0x00010001U
#define LATER 0x90000001U

/* Caller 1's flow is sent to A and, unanswered, to C, and is given up on. */
#define UNANSWERED                                                             \
	{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},                              \
		{0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},                    \
		{0, ROUTES, 1, true, NOTHING},                                 \
		{1, READS_LATE, 1, 90, TO(TARGET_A, REASON_LEAST_LOADED)},     \
		{31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)},            \
	{                                                                      \
		61, TICKS, 0, 0, NOTHING                                       \
	}

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"unanswered-flow-is-sought-and-its-targets-are-told",
	 {UNANSWERED,
	  {61, SEEKS, 1, 0, NOTHING},
	  {63, FOUND, 1, TARGET_A, NOTHING},
	  {63, TOLD, TARGET_C, TARGET_A, NOTHING},
	  {300, SEEKS, 0, 0, NOTHING}}},
	{"flow-is-sought-three-times",
	 {UNANSWERED,
	  {61, SEEKS, 1, 0, NOTHING},
	  {260, SEEKS, 0, 0, NOTHING},
	  {261, SEEKS, 1, 0, NOTHING},
	  {661, SEEKS, 1, 0, NOTHING},
	  {1200, SEEKS, 0, 0, NOTHING}}},
	{"flow-is-not-sought-after-the-caller-has-given-up",
	 {UNANSWERED, {1401, SEEKS, 0, 0, NOTHING}}},
	{"flow-whose-next-packet-arrives-is-not-sought",
	 {UNANSWERED,
	  {70, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {70, TOLD, TARGET_A, TARGET_C, NOTHING},
	  {71, SEEKS, 0, 0, NOTHING},
	  {72, FOUND, 1, TARGET_A, NOTHING},
	  {72, TOLD, 0, 0, NOTHING},
	  {73, SENDS, 1, TARGET_A, TO(TARGET_C, REASON_TAG)}}},
	{"answered-flow-is-not-sought",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {9, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {91, TICKS, 0, 0, NOTHING},
	  {91, SEEKS, 0, 0, NOTHING}}},
	{"flow-of-a-node-that-leaves-is-sought",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {2, NODE_LEAVES, 0, 0, NOTHING},
	  {31, TICKS, 0, 0, NOTHING},
	  {31, SEEKS, 1, 0, NOTHING},
	  {231, FOUND, 1, TARGET_C, NOTHING},
	  {231, TOLD, TARGET_A, TARGET_C, NOTHING}}},
	{"word-of-a-moved-flow-with-its-tag",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)},
	  {35, MOVED, 1, TARGET_A, NOTHING},
	  {35, TOLD, TARGET_C, TARGET_A, NOTHING},
	  {61, TICKS, 0, 0, NOTHING},
	  {61, SEEKS, 0, 0, NOTHING}}},
	{"word-of-a-moved-flow-without-its-tag",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, SERVES, TARGET_C, OTHER_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {31, TICKS, 0, 0, TO(TARGET_C, REASON_UNANSWERED)},
	  {35, MOVED, 1, 0, NOTHING},
	  {35, TOLD, 0, 0, NOTHING},
	  {61, TICKS, 0, 0, NOTHING}}},
	{"open-flow-is-found",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, IS_ASKED_FOR, 1, 0, NOTHING},
	  {2, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {3, IS_ASKED_FOR, 1, 0, NOTHING},
	  {9, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {10, IS_ASKED_FOR, 1, TARGET_A, NOTHING}}},
	{"earlier-flow-from-the-port-is-not-found",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, SENDS, EARLIER, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {2, IS_ASKED_FOR, EARLIER, TARGET_A, NOTHING},
	  {3, IS_ASKED_FOR, LATER, 0, NOTHING}}},
};

START_TEST(test_row_of_steps)
{
	test_row("relay_search", rows[_i].name);
	run_steps(rows[_i].steps);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_search");
	TCase *tcase = tcase_create("relay_search");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
