#ifndef CORE_RELAY_WORK_TIME_H
#define CORE_RELAY_WORK_TIME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What this node saw of the requests at a target, or at the targets of a pool:
 * how many were the first and how many later ones of their flows, how many of
 * them were timed, and the sum of their times. Counts are in thousandths; all
 * fall with time, so that a change of the target's speed is followed.
 */
struct relay_work_time {
	uint32_t first_milli;
	uint32_t later_milli;
	uint32_t timed_milli;
	uint64_t time_us;
};

void relay_work_time_add_request(struct relay_work_time *work, bool is_first);
void relay_work_time_add_duration(struct relay_work_time *work,
				  uint32_t duration_ms);
void relay_work_time_age(struct relay_work_time *work, int64_t elapsed_ms);
void relay_work_time_merge(struct relay_work_time *sum,
			   const struct relay_work_time *work);
uint64_t relay_work_time_mean_us(const struct relay_work_time *work);
uint32_t relay_work_time_pace_milli(const struct relay_work_time *work,
				    const struct relay_work_time *pool);

#endif
