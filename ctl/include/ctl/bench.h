#ifndef CTL_BENCH_H
#define CTL_BENCH_H

#include <ctl/bench_report.h>

/* A benchmark of shallotctl bench; run adds its results to the report. */
struct bench {
	const char *name;
	const char *summary;
	void (*run)(struct bench_report *report);
};

extern const struct bench bench_capacity;
extern const struct bench bench_config;
extern const struct bench bench_decide;
extern const struct bench bench_flood;
extern const struct bench bench_flow_pairs;
extern const struct bench bench_flows;
extern const struct bench bench_members;
extern const struct bench bench_path;

#endif
