#ifndef CORE_USAGE_AVERAGE_H
#define CORE_USAGE_AVERAGE_H

#include <stdint.h>

/*
 * Exponentially weighted moving average of the number of requests in flight.
 * Compared with a limit below one, it allows single requests with pauses
 * between them. window_ms is the time constant.
 */
struct usage_average {
	int64_t average_micro;
	int64_t updated_ms;
	uint32_t window_ms;
	uint32_t in_flight;
};

void usage_average_init(struct usage_average *usage, uint32_t window_ms);
void usage_average_add(struct usage_average *usage, int32_t delta,
		       int64_t now_ms);
uint32_t usage_average_milli(struct usage_average *usage, int64_t now_ms);
int64_t usage_average_below_ms(struct usage_average *usage,
			       uint32_t threshold_milli, int64_t now_ms);

#endif
