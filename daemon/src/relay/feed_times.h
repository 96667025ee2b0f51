#ifndef FEED_TIMES_H
#define FEED_TIMES_H

#include <stdint.h>
#include <task/histogram.h>

enum feed_time {
	FEED_TIME_STORE_CALL,
	FEED_TIME_NEWS_GAP,
	FEED_TIME_COUNT,
};

/* The histograms of a feed task, in milliseconds. */
struct feed_times;

struct feed_times *feed_times_new(void);
void feed_times_free(struct feed_times *times);
void feed_times_add(struct feed_times *times, enum feed_time time,
		    int64_t value_ms);
struct histogram *const *feed_times_all(const struct feed_times *times);

#endif
