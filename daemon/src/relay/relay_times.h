#ifndef RELAY_TIMES_H
#define RELAY_TIMES_H

#include <task/histogram_set.h>

/* Rows of the histograms of the relay task. */
enum relay_time {
	RELAY_TIME_ANSWER,
	RELAY_TIME_FORWARD,
	RELAY_TIME_NEWS_AGE,
	RELAY_TIME_REPORT_GAP,
	RELAY_TIME_COUNT,
};

struct histogram_set *relay_times_new(void);

#endif
