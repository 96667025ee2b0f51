#ifndef FEED_COUNTERS_H
#define FEED_COUNTERS_H

#include <platform/kv_call_counts.h>
#include <task/counter_set.h>

/* Indexes of the feed task's counters. Add the cause to FEED_STORE_CALLS. */
enum feed_counter {
	FEED_STORE_CALLS,
	FEED_STORE_CALLS_LAST = FEED_STORE_CALLS + KV_CALL_CAUSE_COUNT - 1,
	FEED_SNAPSHOT_READS,
	FEED_CHANGES,
	FEED_SOURCE_FAILURES,
	FEED_UPDATES_NOT_POSTED,
	FEED_IS_LIVE,
	FEED_IS_DIRECT,
	FEED_STORE_REVISION,
	FEED_COUNTER_COUNT,
};

struct counter_set *feed_counters_new(void);

#endif
