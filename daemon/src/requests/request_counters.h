#ifndef REQUEST_COUNTERS_H
#define REQUEST_COUNTERS_H

#include <core/attempt_outcome.h>
#include <task/counter_set.h>

enum request_counter {
	REQUESTS_RECEIVED,
	REQUESTS_ANSWERED,
	REQUESTS_NOT_RUN,
	REQUESTS_UNKNOWN,
	REQUESTS_REJECTED,
	REQUESTS_CUT,
	REQUESTS_CALLER_GONE,
	/* One counter for each enum attempt_outcome. */
	ATTEMPTS_FIRST,
	ATTEMPTS_LAST = ATTEMPTS_FIRST + ATTEMPT_OUTCOME_COUNT - 1,
	ATTEMPTS_STARTED,
	ATTEMPTS_CANCELLED,
	REQUESTS_OPEN,
	CONNECTIONS_OPEN,
	BUFFERED_BYTES,
	REQUEST_COUNTER_COUNT,
};

struct counter_set *request_counters_new(void);

#endif
