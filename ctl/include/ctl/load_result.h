#ifndef CTL_LOAD_RESULT_H
#define CTL_LOAD_RESULT_H

#include <ctl/latency_histogram.h>

/* What a caller of the load saw of one request. */
enum load_outcome {
	LOAD_WHOLE,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_WRONG,
	LOAD_REJECTED,
	LOAD_BROKEN,
	LOAD_OUTCOME_COUNT,
};

/* What one class of a load got; the load task owns it. */
struct load_result {
	uint64_t sent_count;
	uint64_t outcome_counts[LOAD_OUTCOME_COUNT];
	struct latency_histogram *latencies;
};

const char *load_outcome_name(enum load_outcome outcome);

#endif
