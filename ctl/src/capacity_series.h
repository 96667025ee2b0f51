#ifndef CAPACITY_SERIES_H
#define CAPACITY_SERIES_H

#include <ctl/bench_report.h>
#include <ctl/line_fit.h>

#define CAPACITY_POINT_COUNT 4

/*
 * A quantity that is measured at several sizes and extrapolated linearly to
 * the design size.
 */
struct capacity_series {
	const char *name;
	const char *unit;
	double (*measure)(uint32_t size);
	uint32_t sizes[CAPACITY_POINT_COUNT];
	uint32_t design_size;
};

double capacity_series_report(const struct capacity_series *series,
			      struct bench_report *report);

#endif
