#include "relay_times.h"

static const struct {
	const char *name;
	const char *help;
} rows[] = {
	[RELAY_TIME_ANSWER] = {"shallot_relay_answer_ms",
			       "time from an opening packet to the target's "
			       "first sign"},
	[RELAY_TIME_FORWARD] = {"shallot_relay_forward_us",
				"time from taking a packet to handing it on"},
	[RELAY_TIME_NEWS_AGE] = {"shallot_relay_news_age_ms",
				 "age of configuration and directory when a "
				 "new flow was decided"},
	[RELAY_TIME_REPORT_GAP] = {"shallot_relay_report_gap_ms",
				   "time between two reports of another node"},
};

struct relay_times {
	struct histogram *histograms[RELAY_TIME_COUNT];
};

/* Makes empty histograms; free them with relay_times_free. */
struct relay_times *relay_times_new(void)
{
	struct relay_times *times = g_new0(struct relay_times, 1);

	for (uint32_t i = 0; i < RELAY_TIME_COUNT; i++)
		times->histograms[i] =
			histogram_new(rows[i].name, rows[i].help);
	return times;
}

/* Frees the histograms; NULL is allowed. */
void relay_times_free(struct relay_times *times)
{
	if (!times)
		return;
	for (uint32_t i = 0; i < RELAY_TIME_COUNT; i++)
		histogram_free(times->histograms[i]);
	g_free(times);
}

/* Counts a time, in the unit that its name ends with. */
void relay_times_add(struct relay_times *times, enum relay_time time,
		     int64_t value)
{
	histogram_add(times->histograms[time],
		      (uint32_t)CLAMP(value, 0, (int64_t)UINT32_MAX));
}

/* Returns all of them, RELAY_TIME_COUNT. */
struct histogram *const *relay_times_all(const struct relay_times *times)
{
	return times->histograms;
}
