#include <ctl/bench_report.h>

#include <glib.h>
#include <stdio.h>

struct bench_report {
	const char *bench_name;
	bool is_met;
};

static const char *const bound_symbols[] = {
	[BOUND_NONE] = "-",
	[BOUND_AT_MOST] = "<=",
	[BOUND_AT_LEAST] = ">=",
};

/* Creates a report; free it with bench_report_free. */
struct bench_report *bench_report_new(const char *bench_name)
{
	struct bench_report *report = g_new0(struct bench_report, 1);

	report->bench_name = bench_name;
	report->is_met = true;
	return report;
}

/* Frees a report; NULL is allowed. */
void bench_report_free(struct bench_report *report)
{
	g_free(report);
}

static bool is_within(double value, enum bench_bound bound_kind, double bound)
{
	switch (bound_kind) {
	case BOUND_AT_MOST:
		return value <= bound;
	case BOUND_AT_LEAST:
		return value >= bound;
	case BOUND_NONE:
		return true;
	}
	return true;
}

/*
 * Prints name, value, unit and bound, separated by tabs, and a fifth column
 * MISSED if the bound is missed. NaN misses every bound.
 */
void bench_report_add(struct bench_report *report, const char *name,
		      double value, const char *unit,
		      enum bench_bound bound_kind, double bound)
{
	bool is_met = is_within(value, bound_kind, bound);

	printf("%s.%s\t%.6g\t%s\t", report->bench_name, name, value, unit);
	if (bound_kind == BOUND_NONE)
		printf("-");
	else
		printf("%s %.6g", bound_symbols[bound_kind], bound);
	printf("%s\n", is_met ? "" : "\tMISSED");
	fflush(stdout);
	report->is_met = report->is_met && is_met;
}

/* Returns whether every result so far met its bound. */
bool bench_report_is_met(const struct bench_report *report)
{
	return report->is_met;
}
