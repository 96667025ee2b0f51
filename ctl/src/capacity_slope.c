#include "capacity_slope.h"

#include <glib.h>

#define NAME_BYTES 96

static void figure(const struct capacity_slope *slope,
		   struct bench_report *report, const char *part, double value)
{
	char name[NAME_BYTES];

	g_snprintf(name, sizeof(name), "%s.%s", slope->name, part);
	bench_report_figure(report, name, value, slope->unit, BOUND_NONE, 0);
}

/*
 * Measures the points and reports them with the intercept, slope and residual
 * of the fitted line. Returns the line's value at the design size.
 */
double capacity_slope_report(const struct capacity_slope *slope,
			     struct bench_report *report)
{
	double x[CAPACITY_POINT_COUNT];
	double y[CAPACITY_POINT_COUNT];
	struct line_fit fit;
	char part[NAME_BYTES];

	for (uint32_t i = 0; i < CAPACITY_POINT_COUNT; i++) {
		x[i] = slope->sizes[i];
		y[i] = slope->measure(slope->sizes[i]);
		g_snprintf(part, sizeof(part), "at_%u", slope->sizes[i]);
		figure(slope, report, part, y[i]);
	}
	fit = line_fit_of(x, y, CAPACITY_POINT_COUNT);
	figure(slope, report, "base", fit.base);
	figure(slope, report, "slope", fit.slope);
	figure(slope, report, "residual", fit.residual);
	g_snprintf(part, sizeof(part), "carried_to_%u", slope->target_size);
	figure(slope, report, part, line_fit_at(&fit, slope->target_size));
	return line_fit_at(&fit, slope->target_size);
}
