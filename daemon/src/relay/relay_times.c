#include "relay_times.h"

static const struct histogram_row rows[RELAY_TIME_COUNT] = {
	[RELAY_TIME_ANSWER] = {"shallot_relay_answer_ms",
			       "time from an opening packet to the target's "
			       "first sign"},
	[RELAY_TIME_FORWARD] = {"shallot_relay_forward_us",
				"time from taking a packet to handing it on"},
	[RELAY_TIME_UPDATE_AGE] = {"shallot_relay_news_age_ms",
				   "age of configuration and directory when a "
				   "new flow was decided"},
	[RELAY_TIME_REPORT_GAP] = {"shallot_relay_report_gap_ms",
				   "time between two reports of another node"},
};

/* Creates the histograms. Free them with histogram_set_free. */
struct histogram_set *relay_times_new(void)
{
	return histogram_set_new(rows, RELAY_TIME_COUNT);
}
