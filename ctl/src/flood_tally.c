#include "flood_tally.h"

#include <glib.h>

/* Counts a complete response that arrived before its deadline. */
void flood_tally_answer(struct flood_tally *tally, enum work_class work_class,
			uint32_t caller, uint32_t work_ms, int64_t latency_ms)
{
	tally->answered[work_class]++;
	tally->answered_work_ms[work_class] += work_ms;
	tally->caller_answered[work_class][caller]++;
	tally->latency[work_class]
		      [CLAMP(latency_ms, 0, FLOOD_LATENCY_MAX_MS - 1)]++;
}

/* Returns the 99th percentile latency of a class's responses. */
double flood_tally_p99_ms(const struct flood_tally *tally,
			  enum work_class work_class)
{
	uint64_t left = tally->answered[work_class] / 100;

	for (uint32_t i = FLOOD_LATENCY_MAX_MS; i > 0; i--) {
		if (tally->latency[work_class][i - 1] > left)
			return i - 1;
		left -= tally->latency[work_class][i - 1];
	}
	return 0;
}

/* Returns the fraction of a class's offered operations that were answered. */
double flood_tally_goodput(const struct flood_tally *tally,
			   enum work_class work_class)
{
	if (tally->offered[work_class] == 0)
		return 0;
	return (double)tally->answered[work_class] /
	       (double)tally->offered[work_class];
}
