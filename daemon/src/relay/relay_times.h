#ifndef RELAY_TIMES_H
#define RELAY_TIMES_H

#include <task/histogram_set.h>

/* Indexes of the relay task's histograms. */
enum relay_time {
	RELAY_TIME_ANSWER,
	RELAY_TIME_FORWARD,
	RELAY_TIME_UPDATE_AGE,
	RELAY_TIME_REPORT_GAP,
	RELAY_TIME_COUNT,
};

struct histogram_set *relay_times_new(void);

#endif
