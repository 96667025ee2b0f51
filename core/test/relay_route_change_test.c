/*
 * Guards against copies of an opening packet that go by the route that was in
 * force when the first copy arrived (review/9).
 */
#include "relay_steps.h"

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"second-copy-goes-to-the-service-in-force",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, CHANGES_SERVICE, TARGET_C, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {100, ROUTE_MOVES, 2, 0, NOTHING},
	  {201, READS_LATE, SECOND_COPY | 1, 0,
	   TO(TARGET_C, REASON_ROUTE_CHANGED)},
	  {202, READS_LATE, SECOND_COPY | 1, 0, TO(TARGET_C, REASON_RECORD)},
	  {209, SENDS, 1, TARGET_C, TO(TARGET_C, REASON_TAG)},
	  {209, TOLD, TARGET_A, TARGET_C, NOTHING}}},
	{"copy-before-the-answer-is-due",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, CHANGES_SERVICE, TARGET_C, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {2, ROUTE_MOVES, 2, 0, NOTHING},
	  {3, READS_LATE, SECOND_COPY | 1, 0,
	   TO(TARGET_C, REASON_ROUTE_CHANGED)}}},
	{"service-in-force-without-a-target",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {100, ROUTE_MOVES, 2, 0, NOTHING},
	  {201, READS_LATE, SECOND_COPY | 1, 0, DROP(REASON_NO_TARGET)}}},
	{"copy-after-another-version-with-the-same-route",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {2, ROUTES, 2, true, NOTHING},
	  {3, READS_LATE, SECOND_COPY | 1, 0, TO(TARGET_A, REASON_RECORD)}}},
	{"open-flow-stays-at-its-target",
	 {{0, SERVES, TARGET_A, OWN_ZONE, NOTHING},
	  {0, CHANGES_SERVICE, TARGET_C, OWN_ZONE, NOTHING},
	  {0, ROUTES, 1, true, NOTHING},
	  {1, OPENS, 1, 0, TO(TARGET_A, REASON_LEAST_LOADED)},
	  {9, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)},
	  {100, ROUTE_MOVES, 2, 0, NOTHING},
	  {201, READS_LATE, SECOND_COPY | 1, 0, TO(TARGET_A, REASON_RECORD)},
	  {202, SENDS, 1, TARGET_A, TO(TARGET_A, REASON_TAG)}}},
};

START_TEST(test_row_of_steps)
{
	test_row("relay_route_change", rows[_i].name);
	run_steps(rows[_i].steps);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_route_change");
	TCase *tcase = tcase_create("relay_route_change");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
