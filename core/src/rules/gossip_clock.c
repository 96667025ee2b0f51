#include "gossip_clock.h"

#define NOTICE_INTERVAL_MS 200
#define DIGEST_INTERVAL_MS 1000
#define DIGEST_INTERVAL_BEHIND_MS 400
/* How long after news digests go out as often as when behind. */
#define NEWS_PERIOD_MS 3000
#define PULL_TIMEOUT_MS 300
#define REPORT_INTERVAL_MS 5000
#define WATCHER_READ_INTERVAL_MS 1000
#define SILENCE_BOUND_MS 5000
#define SILENT_READ_INTERVAL_MAX_MS 30000
#define FIRST_READ_DELAY_MS 1000
#define READ_JITTER_MS 1000
#define REPAIR_INTERVAL_MS 2000

/* Sets the clock so that all but regular events may happen at once. */
void gossip_clock_init(struct gossip_clock *clock, GRand *rand)
{
	*clock = (struct gossip_clock){
		.rand = rand,
		.news_ms = -NEWS_PERIOD_MS,
		.repair_ms = -REPAIR_INTERVAL_MS,
		.pull_ms = -PULL_TIMEOUT_MS,
	};
}

/*
 * Sets the moments apart at the first tick, so that nodes started together do
 * not act as one. Returns whether this was the first.
 */
bool gossip_clock_begin(struct gossip_clock *clock, int64_t now_ms)
{
	if (clock->has_started)
		return false;
	clock->has_started = true;
	clock->start_ms = now_ms;
	clock->store_ms = now_ms;
	clock->read_ms = now_ms;
	clock->notice_ms = now_ms - NOTICE_INTERVAL_MS;
	clock->digest_ms =
		now_ms - g_rand_int_range(clock->rand, 0, DIGEST_INTERVAL_MS);
	clock->report_ms =
		now_ms - g_rand_int_range(clock->rand, 0, REPORT_INTERVAL_MS);
	return true;
}

/* A burst of changes is announced together, a single one at once. */
bool gossip_clock_may_notify(const struct gossip_clock *clock, int64_t now_ms)
{
	return now_ms - clock->notice_ms >= NOTICE_INTERVAL_MS;
}

/* One pull is on its way at a time, until it counts as lost. */
bool gossip_clock_may_pull(const struct gossip_clock *clock, int64_t now_ms)
{
	return now_ms - clock->pull_ms >= PULL_TIMEOUT_MS;
}

/* The answer to a pull is whole, so the next need not wait. */
void gossip_clock_pull_done(struct gossip_clock *clock, int64_t now_ms)
{
	clock->pull_ms = now_ms - PULL_TIMEOUT_MS;
}

/* Tells whether the last repair of the store has had its time. */
bool gossip_clock_may_repair(const struct gossip_clock *clock, int64_t now_ms)
{
	return now_ms - clock->repair_ms >= REPAIR_INTERVAL_MS;
}

/* Tells whether the zone's reporter should hear of this node again. */
bool gossip_clock_is_report_due(const struct gossip_clock *clock,
				int64_t now_ms)
{
	return now_ms - clock->report_ms >= REPORT_INTERVAL_MS;
}

/* Digests are frequent while this node or, after news, others lack lines. */
bool gossip_clock_is_digest_due(const struct gossip_clock *clock,
				bool is_behind, int64_t now_ms)
{
	bool is_urgent = is_behind || now_ms - clock->news_ms < NEWS_PERIOD_MS;

	return now_ms - clock->digest_ms >=
	       (is_urgent ? DIGEST_INTERVAL_BEHIND_MS : DIGEST_INTERVAL_MS);
}

/*
 * Watchers read regularly, as a watch can stall without a sign. Another node
 * reads once soon after its start, and then when nobody it hears of has read
 * the store for a while, less often as the silence lasts.
 */
bool gossip_clock_is_read_due(const struct gossip_clock *clock, bool is_watcher,
			      bool is_known, int64_t now_ms)
{
	int64_t jitter_ms = g_rand_int_range(clock->rand, 0, READ_JITTER_MS);
	int64_t silence_ms = now_ms - clock->store_ms;
	bool is_first = !is_known && clock->read_ms == clock->start_ms;

	if (is_watcher)
		return now_ms - clock->read_ms >= WATCHER_READ_INTERVAL_MS;
	if (is_first)
		return now_ms - clock->start_ms >=
		       FIRST_READ_DELAY_MS + jitter_ms;
	return silence_ms >= SILENCE_BOUND_MS &&
	       now_ms - clock->read_ms >= CLAMP(silence_ms / 2,
						SILENCE_BOUND_MS,
						SILENT_READ_INTERVAL_MAX_MS) +
						  jitter_ms;
}

/* Returns how long ago anyone heard of has read the store. */
uint32_t gossip_clock_store_age_ms(const struct gossip_clock *clock)
{
	return (uint32_t)CLAMP(clock->now_ms - clock->store_ms, 0, UINT32_MAX);
}

/* Notes that a peer, or this node with age 0, knows of a read of the store. */
void gossip_clock_hear_store(struct gossip_clock *clock, uint32_t age_ms)
{
	clock->store_ms = MAX(clock->store_ms, clock->now_ms - age_ms);
}
