#ifndef RELAY_TIMES_H
#define RELAY_TIMES_H

#include <stdint.h>
#include <task/histogram.h>

enum relay_time {
	RELAY_TIME_ANSWER,
	RELAY_TIME_FORWARD,
	RELAY_TIME_NEWS_AGE,
	RELAY_TIME_REPORT_GAP,
	RELAY_TIME_COUNT,
};

/* The histograms of a relay task, each with a unit of its own. */
struct relay_times;

struct relay_times *relay_times_new(void);
void relay_times_free(struct relay_times *times);
void relay_times_add(struct relay_times *times, enum relay_time time,
		     int64_t value);
struct histogram *const *relay_times_all(const struct relay_times *times);

#endif
