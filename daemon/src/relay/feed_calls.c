#include "feed_calls.h"

#include "feed_counters.h"

#include <inttypes.h>

#define LOG_INTERVAL_MS 10000

static uint64_t total(const struct feed_calls *calls)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < KV_CALL_CAUSE_COUNT; i++)
		count += calls->counts.counts[i];
	return count;
}

/* Logs the calls since the start of the process, if there were new ones. */
void feed_calls_log(struct feed_calls *calls, struct log *log, int64_t now_ms)
{
	const uint64_t *counts = calls->counts.counts;

	calls->logged_ms = now_ms;
	if (total(calls) == calls->logged_count)
		return;
	calls->logged_count = total(calls);
	log_write(log, LOG_LEVEL_NOTICE, "store_calls",
		  "key=%" PRIu64 " page=%" PRIu64 " stale_page=%" PRIu64
		  " watch=%" PRIu64 " write=%" PRIu64 " lease=%" PRIu64
		  " renewal=%" PRIu64,
		  counts[KV_CALL_KEY], counts[KV_CALL_PAGE],
		  counts[KV_CALL_STALE_PAGE], counts[KV_CALL_WATCH],
		  counts[KV_CALL_WRITE], counts[KV_CALL_LEASE],
		  counts[KV_CALL_RENEWAL]);
}

/* Updates the counters, and logs the calls every LOG_INTERVAL_MS. */
void feed_calls_report(struct feed_calls *calls, struct counter_set *counters,
		       struct log *log, int64_t now_ms)
{
	for (uint32_t i = 0; i < KV_CALL_CAUSE_COUNT; i++)
		counter_set_assign(counters, FEED_STORE_CALLS + i,
				   calls->counts.counts[i]);
	if (now_ms - calls->logged_ms >= LOG_INTERVAL_MS)
		feed_calls_log(calls, log, now_ms);
}
