#include "feed_times.h"

static const struct histogram_row rows[FEED_TIME_COUNT] = {
	[FEED_TIME_STORE_CALL] = {"shallot_feed_store_call_ms",
				  "time of a call to the store, watches left "
				  "out"},
	[FEED_TIME_UPDATE_GAP] = {"shallot_feed_news_gap_ms",
				  "time between two answers that show the copy "
				  "of the store to be current"},
};

/* Creates the histograms. Free them with histogram_set_free. */
struct histogram_set *feed_times_new(void)
{
	return histogram_set_new(rows, FEED_TIME_COUNT);
}
