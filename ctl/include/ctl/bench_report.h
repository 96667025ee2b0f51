#ifndef CTL_BENCH_REPORT_H
#define CTL_BENCH_REPORT_H

#include <stdbool.h>

/* Which side of its bound a figure must stay on. */
enum bench_bound {
	BOUND_NONE,
	BOUND_AT_MOST,
	BOUND_AT_LEAST,
};

/* Prints figures, one a line, and remembers whether each met its bound. */
struct bench_report;

struct bench_report *bench_report_new(const char *bench_name);
void bench_report_free(struct bench_report *report);
void bench_report_figure(struct bench_report *report, const char *name,
			 double value, const char *unit, enum bench_bound side,
			 double bound);
bool bench_report_is_met(const struct bench_report *report);

#endif
