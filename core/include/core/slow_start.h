#ifndef CORE_SLOW_START_H
#define CORE_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

#define SLOW_START_FULL_MILLI 1000

/*
 * Slow start of a cold target: the share of its limit that it may use grows
 * with time, and faster if it responds as quickly as the other targets.
 * bonus_milli is the share gained by fast responses.
 */
struct slow_start {
	int64_t started_ms;
	uint32_t bonus_milli;
	bool is_warming;
};

void slow_start_begin(struct slow_start *start, int64_t now_ms);
void slow_start_record_response(struct slow_start *start, uint32_t latency_ms,
				uint32_t mean_latency_ms);
uint32_t slow_start_share_milli(struct slow_start *start, int64_t now_ms);

#endif
