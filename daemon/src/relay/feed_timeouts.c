#include "feed_timeouts.h"

/*
 * A source that has failed is detected within two seconds, because a
 * configuration must be in force on all nodes within 3 s, and the nodes that
 * read from this one get it later still. A slow store takes about 400 ms to
 * reply. A node may ask two peers that were removed before it asks the store,
 * and a peer replies from memory.
 */
static const struct feed_timeouts timeouts[] = {
	[RELAY_SOURCE_STORE] = {.read_timeout_ms = 2000,
				.wait_ms = 1000,
				.watch_timeout_ms = 1800,
				.first_timeout_ms = 700},
	[RELAY_SOURCE_PEER] = {.read_timeout_ms = 500,
			       .wait_ms = 1000,
			       .watch_timeout_ms = 1500,
			       .first_timeout_ms = 300},
};

/* Returns the timeouts for a source of a kind other than RELAY_SOURCE_NONE. */
const struct feed_timeouts *feed_timeouts_for(enum relay_source_kind kind)
{
	return &timeouts[kind];
}
