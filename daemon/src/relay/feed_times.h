#ifndef FEED_TIMES_H
#define FEED_TIMES_H

#include <task/histogram_set.h>

/* Indexes of the feed task's histograms. */
enum feed_time {
	FEED_TIME_STORE_CALL,
	FEED_TIME_UPDATE_GAP,
	FEED_TIME_COUNT,
};

struct histogram_set *feed_times_new(void);

#endif
