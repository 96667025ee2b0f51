#include <core/slow_start.h>

#define WARM_UP_MS 10000
#define FIRST_SHARE_MILLI 100
#define PROMPT_GAIN_MILLI 50
#define PROMPT_PERCENT 150

/* Begins to warm up a target from its smallest share. */
void slow_start_begin(struct slow_start *start, int64_t now_ms)
{
	start->began_ms = now_ms;
	start->prompt_milli = 0;
	start->is_warming = true;
}

/* Notes an answer; a prompt one speaks for a warm target. */
void slow_start_answered(struct slow_start *start, uint32_t latency_ms,
			 uint32_t usual_ms)
{
	if (start->is_warming &&
	    (uint64_t)latency_ms * 100 <= (uint64_t)usual_ms * PROMPT_PERCENT)
		start->prompt_milli += PROMPT_GAIN_MILLI;
}

/* Returns the share of its limit that the target may have now. */
uint32_t slow_start_share_milli(struct slow_start *start, int64_t now_ms)
{
	int64_t age_ms = now_ms - start->began_ms;
	int64_t share_milli;

	if (!start->is_warming)
		return SLOW_START_FULL_MILLI;
	share_milli = FIRST_SHARE_MILLI + start->prompt_milli +
		      (SLOW_START_FULL_MILLI - FIRST_SHARE_MILLI) * age_ms /
			      WARM_UP_MS;
	if (share_milli < SLOW_START_FULL_MILLI)
		return (uint32_t)share_milli;
	start->is_warming = false;
	return SLOW_START_FULL_MILLI;
}
