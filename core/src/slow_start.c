#include <core/slow_start.h>

#define WARM_UP_MS 10000
#define FIRST_SHARE_MILLI 100

/* Begins to warm up a target from its smallest share. */
void slow_start_begin(struct slow_start *start, int64_t now_ms)
{
	start->began_ms = now_ms;
	start->is_warming = true;
}

/* Returns the share of its limit that the target may have now. */
uint32_t slow_start_share_milli(struct slow_start *start, int64_t now_ms)
{
	int64_t age_ms = now_ms - start->began_ms;

	if (!start->is_warming)
		return SLOW_START_FULL_MILLI;
	if (age_ms >= WARM_UP_MS) {
		start->is_warming = false;
		return SLOW_START_FULL_MILLI;
	}
	return FIRST_SHARE_MILLI +
	       (uint32_t)((SLOW_START_FULL_MILLI - FIRST_SHARE_MILLI) * age_ms /
			  WARM_UP_MS);
}
