#include "flood_stats.h"

#include <glib.h>

/* Counts a complete response that arrived before its deadline. */
void flood_stats_add_response(struct flood_stats *stats,
			      enum work_class work_class, uint32_t caller,
			      uint32_t work_ms, int64_t latency_ms)
{
	stats->completed[work_class]++;
	stats->completed_work_ms[work_class] += work_ms;
	stats->completed_by_caller[work_class][caller]++;
	stats->latency_counts[work_class][CLAMP(
		latency_ms, 0, FLOOD_STATS_LATENCY_MAX_MS - 1)]++;
}

/* Returns the 99th percentile latency of a class's responses. */
double flood_stats_p99_ms(const struct flood_stats *stats,
			  enum work_class work_class)
{
	uint64_t tail_count = stats->completed[work_class] / 100;

	for (uint32_t i = FLOOD_STATS_LATENCY_MAX_MS; i > 0; i--) {
		if (stats->latency_counts[work_class][i - 1] > tail_count)
			return i - 1;
		tail_count -= stats->latency_counts[work_class][i - 1];
	}
	return 0;
}

/* Returns the fraction of a class's offered operations that were completed. */
double flood_stats_goodput(const struct flood_stats *stats,
			   enum work_class work_class)
{
	if (stats->offered[work_class] == 0)
		return 0;
	return (double)stats->completed[work_class] /
	       (double)stats->offered[work_class];
}
