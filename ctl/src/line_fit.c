#include <ctl/line_fit.h>

#include <math.h>

static double mean(const double *values, uint32_t count)
{
	double sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += values[i];
	return count > 0 ? sum / count : 0;
}

static double rms_residual(const struct line_fit *fit, const double *x,
			   const double *y)
{
	double sum = 0;

	for (uint32_t i = 0; i < fit->point_count; i++) {
		double error = y[i] - line_fit_at(fit, x[i]);

		sum += error * error;
	}
	return fit->point_count > 0 ? sqrt(sum / fit->point_count) : 0;
}

/*
 * Fits y = intercept + slope * x by least squares. The slope is 0 if all points
 * have the same x.
 */
struct line_fit line_fit_least_squares(const double *x, const double *y,
				       uint32_t point_count)
{
	struct line_fit fit = {.point_count = point_count};
	double mean_x = mean(x, point_count);
	double mean_y = mean(y, point_count);
	double sum_xx = 0;
	double sum_xy = 0;

	for (uint32_t i = 0; i < point_count; i++) {
		sum_xx += (x[i] - mean_x) * (x[i] - mean_x);
		sum_xy += (x[i] - mean_x) * (y[i] - mean_y);
	}
	fit.slope = sum_xx > 0 ? sum_xy / sum_xx : 0;
	fit.intercept = mean_y - fit.slope * mean_x;
	fit.residual = rms_residual(&fit, x, y);
	return fit;
}

/* Returns the fitted y at x. */
double line_fit_at(const struct line_fit *fit, double x)
{
	return fit->intercept + fit->slope * x;
}
