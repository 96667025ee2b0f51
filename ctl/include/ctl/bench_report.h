#ifndef CTL_BENCH_REPORT_H
#define CTL_BENCH_REPORT_H

#include <stdbool.h>

/* Whether a result has an upper bound, a lower bound or none. */
enum bench_bound {
	BOUND_NONE,
	BOUND_AT_MOST,
	BOUND_AT_LEAST,
};

/* Prints one result per line and records whether all bounds were met. */
struct bench_report;

struct bench_report *bench_report_new(const char *bench_name);
void bench_report_free(struct bench_report *report);
void bench_report_add(struct bench_report *report, const char *name,
		      double value, const char *unit,
		      enum bench_bound bound_kind, double bound);
bool bench_report_is_met(const struct bench_report *report);

#endif
