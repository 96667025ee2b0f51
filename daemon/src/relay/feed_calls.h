#ifndef FEED_CALLS_H
#define FEED_CALLS_H

#include <platform/kv_call_counts.h>
#include <task/counter_set.h>
#include <task/log.h>

/* This process's calls to the store, which the platform charges. */
struct feed_calls {
	struct kv_call_counts counts;
	uint64_t logged_count;
	int64_t logged_ms;
};

void feed_calls_report(struct feed_calls *calls, struct counter_set *counters,
		       struct log *log, int64_t now_ms);
void feed_calls_log(struct feed_calls *calls, struct log *log, int64_t now_ms);

#endif
