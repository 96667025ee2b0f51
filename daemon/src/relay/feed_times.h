#ifndef FEED_TIMES_H
#define FEED_TIMES_H

#include <task/histogram_set.h>

/* Rows of the histograms of the feed task. */
enum feed_time {
	FEED_TIME_STORE_CALL,
	FEED_TIME_NEWS_GAP,
	FEED_TIME_COUNT,
};

struct histogram_set *feed_times_new(void);

#endif
