#ifndef CTL_LOAD_RESULT_H
#define CTL_LOAD_RESULT_H

#include <ctl/latency_histogram.h>

/*
 * How a request ended, as the caller sees it. LOAD_COMPLETE is a response
 * received in full, with a status below 400. After LOAD_NOT_RUN or
 * LOAD_UNKNOWN, a node reported that the request did not run or may have run.
 * LOAD_WRONG_ECHO is a response that does not echo the path, LOAD_REJECTED any
 * other error status. LOAD_INCOMPLETE is a request that could not be sent or
 * got no complete response.
 */
enum load_outcome {
	LOAD_COMPLETE,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_WRONG_ECHO,
	LOAD_REJECTED,
	LOAD_INCOMPLETE,
	LOAD_OUTCOME_COUNT,
};

/* The results of one class of requests; the load task owns them. */
struct load_result {
	uint64_t sent_count;
	uint64_t outcome_counts[LOAD_OUTCOME_COUNT];
	struct latency_histogram *latencies;
};

const char *load_outcome_name(enum load_outcome outcome);

#endif
