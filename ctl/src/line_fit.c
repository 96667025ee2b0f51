#include <ctl/line_fit.h>

#include <math.h>

static double mean(const double *values, uint32_t count)
{
	double sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += values[i];
	return count > 0 ? sum / count : 0;
}

static double residual_of(const struct line_fit *fit, const double *x,
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
struct line_fit line_fit_of(const double *x, const double *y,
			    uint32_t point_count)
{
	struct line_fit fit = {.point_count = point_count};
	double mean_x = mean(x, point_count);
	double mean_y = mean(y, point_count);
	double spread = 0;
	double product = 0;

	for (uint32_t i = 0; i < point_count; i++) {
		spread += (x[i] - mean_x) * (x[i] - mean_x);
		product += (x[i] - mean_x) * (y[i] - mean_y);
	}
	fit.slope = spread > 0 ? product / spread : 0;
	fit.base = mean_y - fit.slope * mean_x;
	fit.residual = residual_of(&fit, x, y);
	return fit;
}

/* Returns the fitted y at x. */
double line_fit_at(const struct line_fit *fit, double x)
{
	return fit->base + fit->slope * x;
}
