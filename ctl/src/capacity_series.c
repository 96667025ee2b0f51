#include "capacity_series.h"

#include <glib.h>

#define NAME_BYTES 96

static void add_result(const struct capacity_series *series,
		       struct bench_report *report, const char *suffix,
		       double value)
{
	char name[NAME_BYTES];

	g_snprintf(name, sizeof(name), "%s.%s", series->name, suffix);
	bench_report_add(report, name, value, series->unit, BOUND_NONE, 0);
}

/*
 * Measures the points and reports them with the intercept, slope and residual
 * of the fitted line. Returns the line's value at the design size.
 */
double capacity_series_report(const struct capacity_series *series,
			      struct bench_report *report)
{
	double x[CAPACITY_POINT_COUNT];
	double y[CAPACITY_POINT_COUNT];
	struct line_fit fit;
	char suffix[NAME_BYTES];

	for (uint32_t i = 0; i < CAPACITY_POINT_COUNT; i++) {
		x[i] = series->sizes[i];
		y[i] = series->measure(series->sizes[i]);
		g_snprintf(suffix, sizeof(suffix), "at_%u", series->sizes[i]);
		add_result(series, report, suffix, y[i]);
	}
	fit = line_fit_least_squares(x, y, CAPACITY_POINT_COUNT);
	add_result(series, report, "base", fit.intercept);
	add_result(series, report, "slope", fit.slope);
	add_result(series, report, "residual", fit.residual);
	g_snprintf(suffix, sizeof(suffix), "carried_to_%u",
		   series->design_size);
	add_result(series, report, suffix,
		   line_fit_at(&fit, series->design_size));
	return line_fit_at(&fit, series->design_size);
}
