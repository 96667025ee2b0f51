#ifndef CTL_FLOOD_STATS_H
#define CTL_FLOOD_STATS_H

#include <core/work_class.h>
#include <stdint.h>

#define FLOOD_STATS_LATENCY_MAX_MS 20000
#define FLOOD_STATS_CALLERS_MAX 20
#define FLOOD_STATS_TARGETS_MAX 16

/*
 * Counters of one run, mostly from the start of the flood on.
 *
 * completed: complete responses within the deadline. refused, unknown: requests
 * reported as not run, or as possibly run. completed_work_ms: processing time
 * of the responses up to the end of the flood. capacity_work_ms: time of all
 * slots during the flood, without those of a draining target. late_refusals:
 * refusals after 10 ms or more.
 *
 * Violations, which must be 0: repeated_executions, executions after the first
 * of an operation that isn't idempotent; false_not_run, requests reported as
 * not run although they ran; false_responses, responses to requests that didn't
 * run.
 */
struct flood_stats {
	uint64_t offered[CLASS_COUNT];
	uint64_t completed[CLASS_COUNT];
	uint64_t refused[CLASS_COUNT];
	uint64_t unknown[CLASS_COUNT];
	uint64_t completed_work_ms[CLASS_COUNT];
	uint32_t latency_counts[CLASS_COUNT][FLOOD_STATS_LATENCY_MAX_MS];
	uint64_t completed_by_caller[CLASS_COUNT][FLOOD_STATS_CALLERS_MAX];
	uint64_t refusal_max_ms;
	uint64_t late_refusals;
	uint64_t repeated_executions;
	uint64_t false_not_run;
	uint64_t false_responses;
	uint64_t caller_retries;
	uint64_t claims_requested;
	uint64_t claims_taken;
	uint64_t claims_unknown;
	uint64_t claims_granted;
	uint64_t attempts;
	uint64_t shed_attempts;
	uint64_t capacity_work_ms;
	uint64_t target_busy_ms[FLOOD_STATS_TARGETS_MAX];
};

void flood_stats_add_response(struct flood_stats *stats,
			      enum work_class work_class, uint32_t caller,
			      uint32_t work_ms, int64_t latency_ms);
double flood_stats_p99_ms(const struct flood_stats *stats,
			  enum work_class work_class);
double flood_stats_goodput(const struct flood_stats *stats,
			   enum work_class work_class);

#endif
