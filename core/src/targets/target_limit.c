#include <core/target_limit.h>

#define UNIT_MILLI 1000
#define FACTOR_FIRST_MILLI 1500
#define FACTOR_LEAST_MILLI 500
#define FACTOR_MOST_MILLI 2500
#define FACTOR_RAISE_MILLI 30
#define LOWERED_PERCENT 95
#define SLOW_MILLI 1800
#define SLOWNESS_MOST_MILLI 20000
#define SLOWNESS_WEIGHT 8
#define LOWER_PAUSE_MS 50
#define BUSY_LEAST_MS 3

/*
 * Starts above the even share: requests on their way and uneven arrivals
 * would otherwise leave slots idle.
 */
void target_limit_init(struct target_limit *limit, uint32_t slot_count,
		       uint32_t node_count)
{
	*limit = (struct target_limit){
		.slot_count = slot_count,
		.node_count = node_count,
		.factor_milli = FACTOR_FIRST_MILLI,
		.slowness_milli = UNIT_MILLI,
	};
}

/* Returns the even share of the target's slots, in thousandths of a slot. */
uint32_t target_limit_share_milli(const struct target_limit *limit)
{
	uint32_t node_count = limit->node_count ? limit->node_count : 1;

	return limit->slot_count * UNIT_MILLI / node_count;
}

/* Returns the learned limit, in thousandths of a request. */
uint32_t target_limit_milli(const struct target_limit *limit)
{
	return (uint32_t)((uint64_t)target_limit_share_milli(limit) *
			  limit->factor_milli / UNIT_MILLI);
}

/*
 * Returns the weight of the target among its peers: its even share, and less
 * when it was learned that it bears less. What was learned beyond the share
 * does not count, or early luck would decide who gets the work.
 */
uint32_t target_limit_weight_milli(const struct target_limit *limit)
{
	uint32_t share_milli = target_limit_share_milli(limit);
	uint32_t limit_milli = target_limit_milli(limit);

	return limit_milli < share_milli ? limit_milli : share_milli;
}

/* Returns the most requests that may be at the target at one moment. */
uint32_t target_limit_in_flight_max(const struct target_limit *limit)
{
	uint32_t most =
		(target_limit_milli(limit) + UNIT_MILLI - 1) / UNIT_MILLI;

	return most ? most : 1;
}

static void lower(struct target_limit *limit, int64_t now_ms)
{
	if (now_ms - limit->lowered_ms < LOWER_PAUSE_MS)
		return;
	limit->lowered_ms = now_ms;
	limit->factor_milli = limit->factor_milli * LOWERED_PERCENT / 100;
	if (limit->factor_milli < FACTOR_LEAST_MILLI)
		limit->factor_milli = FACTOR_LEAST_MILLI;
}

static void raise(struct target_limit *limit)
{
	limit->factor_milli += FACTOR_RAISE_MILLI;
	if (limit->factor_milli > FACTOR_MOST_MILLI)
		limit->factor_milli = FACTOR_MOST_MILLI;
}

/*
 * Learns from an answer; usual_ms is what such work usually takes at the
 * target's peers. Additive increase, multiplicative decrease (Chiu and Jain,
 * 1989).
 */
void target_limit_answered(struct target_limit *limit, uint32_t latency_ms,
			   uint32_t usual_ms, int64_t now_ms)
{
	uint64_t slowness = ((uint64_t)latency_ms + 1) * UNIT_MILLI /
			    ((uint64_t)usual_ms + 1);

	if (slowness > SLOWNESS_MOST_MILLI)
		slowness = SLOWNESS_MOST_MILLI;
	limit->slowness_milli = (uint32_t)(((uint64_t)limit->slowness_milli *
						    (SLOWNESS_WEIGHT - 1) +
					    slowness) /
					   SLOWNESS_WEIGHT);
	limit->answered_ms = now_ms;
	if (limit->slowness_milli > SLOW_MILLI)
		lower(limit, now_ms);
	else
		raise(limit);
}

/* Learns from a busy answer and leaves the target alone for a while. */
void target_limit_shed(struct target_limit *limit, uint32_t usual_ms,
		       int64_t now_ms)
{
	uint32_t pause_ms = usual_ms / 2;

	if (pause_ms < BUSY_LEAST_MS)
		pause_ms = BUSY_LEAST_MS;
	limit->busy_until_ms = now_ms + pause_ms;
	lower(limit, now_ms);
}

/* Tells whether the target said a short while ago that it is busy. */
bool target_limit_is_busy(const struct target_limit *limit, int64_t now_ms)
{
	return now_ms < limit->busy_until_ms;
}
