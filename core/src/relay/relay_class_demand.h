#ifndef RELAY_CLASS_DEMAND_H
#define RELAY_CLASS_DEMAND_H

#include <stdint.h>

/*
 * The requests of one class that this node sees for a service: how many a
 * second, and how long a target takes for one. work_us is the lowest mean of
 * the windows so far, as waiting in a target's queue adds to a duration; it
 * rises slowly, so that a change of the work is followed. It is 0 until a
 * duration is known.
 */
struct relay_class_demand {
	int64_t window_start_ms;
	uint32_t window_count;
	uint32_t rate_milli;
	uint64_t duration_sum_ms;
	uint32_t duration_count;
	uint32_t work_us;
};

void relay_class_demand_add_request(struct relay_class_demand *demand,
				    int64_t now_ms);
void relay_class_demand_add_duration(struct relay_class_demand *demand,
				     uint32_t duration_ms, int64_t now_ms);
uint64_t relay_class_demand_slots_milli(struct relay_class_demand *demand,
					int64_t now_ms);

#endif
