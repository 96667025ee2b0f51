#include "feed_counters.h"

#define STORE_CALLS(cause, label)                                              \
	[FEED_STORE_CALLS + (cause)] = {                                       \
		"shallot_feed_store_calls_total{cause=\"" label "\"}",         \
		"calls to the store, by cause", COUNTER_TOTAL}

static const struct counter_row rows[FEED_COUNTER_COUNT] = {
	STORE_CALLS(KV_CALL_KEY, "key"),
	STORE_CALLS(KV_CALL_PAGE, "page"),
	STORE_CALLS(KV_CALL_STALE_PAGE, "stale_page"),
	STORE_CALLS(KV_CALL_WATCH, "watch"),
	STORE_CALLS(KV_CALL_WRITE, "write"),
	STORE_CALLS(KV_CALL_LEASE, "lease"),
	STORE_CALLS(KV_CALL_RENEWAL, "renewal"),
	STORE_CALLS(KV_CALL_REVOCATION, "revocation"),
	[FEED_SNAPSHOT_READS] = {"shallot_feed_whole_reads_total",
				 "readings of all that the store holds",
				 COUNTER_TOTAL},
	[FEED_CHANGES] = {"shallot_feed_changes_total",
			  "changed entries that were told", COUNTER_TOTAL},
	[FEED_SOURCE_FAILURES] =
		{"shallot_feed_lost_total",
		 "times that the store or the node read from failed",
		 COUNTER_TOTAL},
	[FEED_UPDATES_NOT_POSTED] =
		{"shallot_feed_not_posted_total",
		 "changes that the packet task had no room for", COUNTER_TOTAL},
	[FEED_IS_LIVE] = {"shallot_feed_live",
			  "1 while a watch on the store or a node stands",
			  COUNTER_GAUGE},
	[FEED_IS_DIRECT] = {"shallot_feed_direct",
			    "1 while this node reads the store itself",
			    COUNTER_GAUGE},
	[FEED_STORE_REVISION] = {"shallot_feed_revision",
				 "revision of the store that is known",
				 COUNTER_GAUGE},
};

/* Creates the counters. Free them with counter_set_free. */
struct counter_set *feed_counters_new(void)
{
	return counter_set_new(rows, FEED_COUNTER_COUNT);
}
