#ifndef FEED_TIMEOUTS_H
#define FEED_TIMEOUTS_H

#include <core/relay_sources.h>
#include <stdint.h>

/*
 * Timeouts of the calls to one source. read_timeout_ms is for the reading of a
 * snapshot. wait_ms is the longest time that the source delays its reply to a
 * watch call without changes, and watch_timeout_ms is for such a call.
 * first_timeout_ms is for the first call of a watch that continues from a known
 * revision or from a peer's snapshot. The source replies to it at once, which
 * shows early that it works.
 */
struct feed_timeouts {
	uint32_t read_timeout_ms;
	uint32_t wait_ms;
	uint32_t watch_timeout_ms;
	uint32_t first_timeout_ms;
};

const struct feed_timeouts *feed_timeouts_for(enum relay_source_kind kind);

#endif
