#include <ctl/line_fit.h>
#include <fakes/test_main.h>

#define POINT_COUNT 4
#define TOLERANCE 1e-9

/* Points and the expected least-squares line. */
static const struct {
	const char *name;
	double x[POINT_COUNT];
	double y[POINT_COUNT];
	double intercept;
	double slope;
	double residual;
} rows[] = {
	{"exact", {1, 2, 3, 4}, {5, 7, 9, 11}, 3, 2, 0},
	{"flat", {1, 2, 3, 4}, {5, 5, 5, 5}, 5, 0, 0},
	{"one x", {2, 2, 2, 2}, {1, 3, 1, 3}, 2, 0, 1},
	{"alternating", {0, 1, 2, 3}, {1, -1, -1, 1}, 0, 0, 1},
};

START_TEST(test_fit)
{
	struct line_fit fit =
		line_fit_least_squares(rows[_i].x, rows[_i].y, POINT_COUNT);

	ck_assert_double_eq_tol(fit.intercept, rows[_i].intercept, TOLERANCE);
	ck_assert_double_eq_tol(fit.slope, rows[_i].slope, TOLERANCE);
	ck_assert_double_eq_tol(fit.residual, rows[_i].residual, TOLERANCE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("line_fit");
	TCase *tcase = tcase_create("fit");

	tcase_add_loop_test(tcase, test_fit, 0, sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
