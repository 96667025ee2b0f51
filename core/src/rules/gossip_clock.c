#include "gossip_clock.h"

#define ANNOUNCE_INTERVAL_MS 200
#define DIGEST_INTERVAL_MS 1000
#define DIGEST_INTERVAL_FAST_MS 400
/* How long digests are sent at the fast interval after a change. */
#define FAST_DIGEST_PERIOD_MS 3000
#define PULL_TIMEOUT_MS 300
#define REPORT_INTERVAL_MS 5000
#define WATCHER_READ_INTERVAL_MS 1000
/* A node that knows of no read of the store for this long reads it itself. */
#define SILENCE_TIMEOUT_MS 5000
#define SILENT_READ_INTERVAL_MAX_MS 30000
#define FIRST_READ_DELAY_MS 1000
#define READ_JITTER_MS 1000
#define REPAIR_INTERVAL_MS 2000

/* Initializes the clock, which allows a pull and a repair immediately. */
void gossip_clock_init(struct gossip_clock *clock, GRand *rand)
{
	*clock = (struct gossip_clock){
		.rand = rand,
		.last_change_ms = -FAST_DIGEST_PERIOD_MS,
		.last_repair_ms = -REPAIR_INTERVAL_MS,
		.last_pull_ms = -PULL_TIMEOUT_MS,
	};
}

/*
 * Starts the timers on the first call, with random phases, so that nodes
 * started together do not send at the same time. Returns whether this was the
 * first call.
 */
bool gossip_clock_start(struct gossip_clock *clock, int64_t now_ms)
{
	if (clock->has_started)
		return false;
	clock->has_started = true;
	clock->start_ms = now_ms;
	clock->last_store_read_ms = now_ms;
	clock->last_own_read_ms = now_ms;
	clock->last_announce_ms = now_ms - ANNOUNCE_INTERVAL_MS;
	clock->last_digest_ms =
		now_ms - g_rand_int_range(clock->rand, 0, DIGEST_INTERVAL_MS);
	clock->last_report_ms =
		now_ms - g_rand_int_range(clock->rand, 0, REPORT_INTERVAL_MS);
	return true;
}

/*
 * Limits the rate of announcements: a single change is announced immediately,
 * the later changes of a burst together, once per ANNOUNCE_INTERVAL_MS.
 */
bool gossip_clock_may_announce(const struct gossip_clock *clock, int64_t now_ms)
{
	return now_ms - clock->last_announce_ms >= ANNOUNCE_INTERVAL_MS;
}

/* Allows one outstanding pull at a time; it counts as lost after a timeout. */
bool gossip_clock_may_pull(const struct gossip_clock *clock, int64_t now_ms)
{
	return now_ms - clock->last_pull_ms >= PULL_TIMEOUT_MS;
}

/*
 * Ends the outstanding pull after a complete reply, so that the next pull need
 * not wait for the timeout.
 */
void gossip_clock_end_pull(struct gossip_clock *clock, int64_t now_ms)
{
	clock->last_pull_ms = now_ms - PULL_TIMEOUT_MS;
}

/* Limits the rate of repairs of the store. */
bool gossip_clock_may_repair(const struct gossip_clock *clock, int64_t now_ms)
{
	return now_ms - clock->last_repair_ms >= REPAIR_INTERVAL_MS;
}

/*
 * Returns whether this node is due to report its configuration state to its
 * zone's reporter, which publishes it.
 */
bool gossip_clock_is_report_due(const struct gossip_clock *clock,
				int64_t now_ms)
{
	return now_ms - clock->last_report_ms >= REPORT_INTERVAL_MS;
}

/*
 * Returns whether a periodic digest is due. The interval is shorter while this
 * node lacks lines and, after a change, while its peers may lack them.
 */
bool gossip_clock_is_digest_due(const struct gossip_clock *clock,
				bool is_behind, int64_t now_ms)
{
	bool is_urgent = is_behind ||
			 now_ms - clock->last_change_ms < FAST_DIGEST_PERIOD_MS;

	return now_ms - clock->last_digest_ms >=
	       (is_urgent ? DIGEST_INTERVAL_FAST_MS : DIGEST_INTERVAL_MS);
}

/*
 * Returns whether this node should read the store. Watchers read periodically,
 * as a watch can stall without an error. Other nodes read once about
 * FIRST_READ_DELAY_MS after the start if no peer has sent them the
 * configuration, and later whenever no node is known to have read the store for
 * SILENCE_TIMEOUT_MS; the interval grows with the duration of that silence.
 */
bool gossip_clock_is_read_due(const struct gossip_clock *clock, bool is_watcher,
			      bool is_config_known, int64_t now_ms)
{
	int64_t jitter_ms = g_rand_int_range(clock->rand, 0, READ_JITTER_MS);
	int64_t silence_ms = now_ms - clock->last_store_read_ms;
	bool is_first =
		!is_config_known && clock->last_own_read_ms == clock->start_ms;

	if (is_watcher)
		return now_ms - clock->last_own_read_ms >=
		       WATCHER_READ_INTERVAL_MS;
	if (is_first)
		return now_ms - clock->start_ms >=
		       FIRST_READ_DELAY_MS + jitter_ms;
	return silence_ms >= SILENCE_TIMEOUT_MS &&
	       now_ms - clock->last_own_read_ms >=
		       CLAMP(silence_ms / 2, SILENCE_TIMEOUT_MS,
			     SILENT_READ_INTERVAL_MAX_MS) +
			       jitter_ms;
}

/* Returns the time since the latest known read of the store by any node. */
uint32_t gossip_clock_since_store_read_ms(const struct gossip_clock *clock)
{
	return (uint32_t)CLAMP(clock->now_ms - clock->last_store_read_ms, 0,
			       UINT32_MAX);
}

/* Records a read of the store age_ms ago, by this node or known to a peer. */
void gossip_clock_record_store_read(struct gossip_clock *clock, uint32_t age_ms)
{
	clock->last_store_read_ms =
		MAX(clock->last_store_read_ms, clock->now_ms - age_ms);
}
