#include <core/slow_start.h>

#define WARMUP_MS 10000
#define INITIAL_SHARE_MILLI 100
#define FAST_RESPONSE_GAIN_MILLI 50
/* A response counts as fast up to this percentage of the mean latency. */
#define FAST_RESPONSE_PERCENT 150

/* Starts the warm-up of a target with the initial share. */
void slow_start_begin(struct slow_start *start, int64_t now_ms)
{
	start->started_ms = now_ms;
	start->bonus_milli = 0;
	start->is_warming = true;
}

/*
 * Records a response; a fast one raises the share, as a warm target is fast.
 * mean_latency_ms is the mean latency of the service.
 */
void slow_start_record_response(struct slow_start *start, uint32_t latency_ms,
				uint32_t mean_latency_ms)
{
	if (start->is_warming &&
	    (uint64_t)latency_ms * 100 <=
		    (uint64_t)mean_latency_ms * FAST_RESPONSE_PERCENT)
		start->bonus_milli += FAST_RESPONSE_GAIN_MILLI;
}

/* Returns the share of its limit that the target may use now. */
uint32_t slow_start_share_milli(struct slow_start *start, int64_t now_ms)
{
	int64_t age_ms = now_ms - start->started_ms;
	int64_t share_milli;

	if (!start->is_warming)
		return SLOW_START_FULL_MILLI;
	share_milli = INITIAL_SHARE_MILLI + start->bonus_milli +
		      (SLOW_START_FULL_MILLI - INITIAL_SHARE_MILLI) * age_ms /
			      WARMUP_MS;
	if (share_milli < SLOW_START_FULL_MILLI)
		return (uint32_t)share_milli;
	start->is_warming = false;
	return SLOW_START_FULL_MILLI;
}
