#include "feed_times.h"

static const struct {
	const char *name;
	const char *help;
} rows[] = {
	[FEED_TIME_STORE_CALL] = {"shallot_feed_store_call_ms",
				  "time of a call to the store, watches left "
				  "out"},
	[FEED_TIME_NEWS_GAP] = {"shallot_feed_news_gap_ms",
				"time between two answers that show the copy "
				"of the store to be current"},
};

struct feed_times {
	struct histogram *histograms[FEED_TIME_COUNT];
};

/* Makes empty histograms; free them with feed_times_free. */
struct feed_times *feed_times_new(void)
{
	struct feed_times *times = g_new0(struct feed_times, 1);

	for (uint32_t i = 0; i < FEED_TIME_COUNT; i++)
		times->histograms[i] =
			histogram_new(rows[i].name, rows[i].help);
	return times;
}

/* Frees the histograms; NULL is allowed. */
void feed_times_free(struct feed_times *times)
{
	if (!times)
		return;
	for (uint32_t i = 0; i < FEED_TIME_COUNT; i++)
		histogram_free(times->histograms[i]);
	g_free(times);
}

/* Counts a time. */
void feed_times_add(struct feed_times *times, enum feed_time time,
		    int64_t value_ms)
{
	histogram_add(times->histograms[time],
		      (uint32_t)CLAMP(value_ms, 0, (int64_t)UINT32_MAX));
}

/* Returns all of them, FEED_TIME_COUNT. */
struct histogram *const *feed_times_all(const struct feed_times *times)
{
	return times->histograms;
}
