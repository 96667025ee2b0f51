#ifndef CTL_LATENCY_HISTOGRAM_H
#define CTL_LATENCY_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

/*
 * Counts latencies in buckets whose width grows with the value, so that a
 * percentile is overestimated by at most one eighth of its value.
 */
struct latency_histogram;

struct latency_histogram *latency_histogram_new(void);
void latency_histogram_free(struct latency_histogram *histogram);
void latency_histogram_add(struct latency_histogram *histogram,
			   uint64_t latency_us);
uint64_t latency_histogram_count(const struct latency_histogram *histogram);
uint64_t
latency_histogram_percentile_us(const struct latency_histogram *histogram,
				double percent);
void latency_histogram_plot(const struct latency_histogram *histogram,
			    FILE *out);

#endif
