#ifndef CTL_LINE_FIT_H
#define CTL_LINE_FIT_H

#include <stdint.h>

/* A least-squares line through measured points. */
struct line_fit {
	double intercept;
	double slope;
	/* Root mean square of the residuals, in the units of y. */
	double residual;
	uint32_t point_count;
};

struct line_fit line_fit_least_squares(const double *x, const double *y,
				       uint32_t point_count);
double line_fit_at(const struct line_fit *fit, double x);

#endif
