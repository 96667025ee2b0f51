#include <core/target_limit.h>

#define MILLI_PER_UNIT 1000
#define SHARE_FACTOR_INITIAL_MILLI 1500
#define SHARE_FACTOR_MIN_MILLI 500
#define SHARE_FACTOR_MAX_MILLI 2500
#define SHARE_FACTOR_INCREASE_MILLI 30
#define SHARE_FACTOR_DECREASE_PERCENT 95
/*
 * The latency ratio compares a target's latency with the mean latency of the
 * service. Above the threshold the limit decreases, otherwise it increases.
 */
#define LATENCY_RATIO_THRESHOLD_MILLI 1800
#define LATENCY_RATIO_MAX_MILLI 20000
/* A new sample has a weight of 1/8 in the moving average. */
#define LATENCY_RATIO_WEIGHT_DIVISOR 8
#define DECREASE_INTERVAL_MS 50
#define BUSY_MIN_MS 3

/*
 * Initializes a limit above the even share, as requests in transit and uneven
 * arrivals would otherwise leave slots idle.
 */
void target_limit_init(struct target_limit *limit, uint32_t slot_count,
		       uint32_t node_count)
{
	*limit = (struct target_limit){
		.slot_count = slot_count,
		.node_count = node_count,
		.share_factor_milli = SHARE_FACTOR_INITIAL_MILLI,
		.latency_ratio_milli = MILLI_PER_UNIT,
	};
}

/* Returns the even share of the target's slots, in thousandths of a slot. */
uint32_t target_limit_share_milli(const struct target_limit *limit)
{
	uint32_t node_count = limit->node_count ? limit->node_count : 1;

	return limit->slot_count * MILLI_PER_UNIT / node_count;
}

/* Returns the adapted limit, in thousandths of a request. */
uint32_t target_limit_milli(const struct target_limit *limit)
{
	return (uint32_t)((uint64_t)target_limit_share_milli(limit) *
			  limit->share_factor_milli / MILLI_PER_UNIT);
}

/*
 * Returns the weight of the target in the choice between targets: its even
 * share, or the adapted limit if that is lower. A limit above the share is not
 * used, as targets with good early results would then get most requests.
 */
uint32_t target_limit_weight_milli(const struct target_limit *limit)
{
	uint32_t share_milli = target_limit_share_milli(limit);
	uint32_t limit_milli = target_limit_milli(limit);

	return limit_milli < share_milli ? limit_milli : share_milli;
}

/* Returns the maximum number of requests in flight at the target. */
uint32_t target_limit_in_flight_max(const struct target_limit *limit)
{
	uint32_t in_flight_max =
		(target_limit_milli(limit) + MILLI_PER_UNIT - 1) /
		MILLI_PER_UNIT;

	return in_flight_max ? in_flight_max : 1;
}

static void decrease(struct target_limit *limit, int64_t now_ms)
{
	if (now_ms - limit->decreased_ms < DECREASE_INTERVAL_MS)
		return;
	limit->decreased_ms = now_ms;
	limit->share_factor_milli =
		limit->share_factor_milli * SHARE_FACTOR_DECREASE_PERCENT / 100;
	if (limit->share_factor_milli < SHARE_FACTOR_MIN_MILLI)
		limit->share_factor_milli = SHARE_FACTOR_MIN_MILLI;
}

static void increase(struct target_limit *limit)
{
	limit->share_factor_milli += SHARE_FACTOR_INCREASE_MILLI;
	if (limit->share_factor_milli > SHARE_FACTOR_MAX_MILLI)
		limit->share_factor_milli = SHARE_FACTOR_MAX_MILLI;
}

/*
 * Adapts the limit to a response by additive increase and multiplicative
 * decrease (Chiu and Jain, 1989); mean_latency_ms is the mean latency of the
 * service.
 */
void target_limit_record_response(struct target_limit *limit,
				  uint32_t latency_ms, uint32_t mean_latency_ms,
				  int64_t now_ms)
{
	uint64_t sample_milli = ((uint64_t)latency_ms + 1) * MILLI_PER_UNIT /
				((uint64_t)mean_latency_ms + 1);

	if (sample_milli > LATENCY_RATIO_MAX_MILLI)
		sample_milli = LATENCY_RATIO_MAX_MILLI;
	limit->latency_ratio_milli =
		(uint32_t)(((uint64_t)limit->latency_ratio_milli *
				    (LATENCY_RATIO_WEIGHT_DIVISOR - 1) +
			    sample_milli) /
			   LATENCY_RATIO_WEIGHT_DIVISOR);
	limit->last_response_ms = now_ms;
	if (limit->latency_ratio_milli > LATENCY_RATIO_THRESHOLD_MILLI)
		decrease(limit, now_ms);
	else
		increase(limit);
}

/*
 * Adapts the limit to a busy response. The target counts as busy for half the
 * mean latency, but at least for BUSY_MIN_MS.
 */
void target_limit_record_busy(struct target_limit *limit,
			      uint32_t mean_latency_ms, int64_t now_ms)
{
	uint32_t busy_ms = mean_latency_ms / 2;

	if (busy_ms < BUSY_MIN_MS)
		busy_ms = BUSY_MIN_MS;
	limit->busy_until_ms = now_ms + busy_ms;
	decrease(limit, now_ms);
}

/* Returns whether the target still counts as busy after a busy response. */
bool target_limit_is_busy(const struct target_limit *limit, int64_t now_ms)
{
	return now_ms < limit->busy_until_ms;
}
