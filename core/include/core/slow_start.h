#ifndef CORE_SLOW_START_H
#define CORE_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

#define SLOW_START_FULL_MILLI 1000

/*
 * Raises the share of a cold target step by step while it warms up: with time,
 * and faster when its answers come as soon as those of its peers.
 */
struct slow_start {
	int64_t began_ms;
	uint32_t prompt_milli;
	bool is_warming;
};

void slow_start_begin(struct slow_start *start, int64_t now_ms);
void slow_start_answered(struct slow_start *start, uint32_t latency_ms,
			 uint32_t usual_ms);
uint32_t slow_start_share_milli(struct slow_start *start, int64_t now_ms);

#endif
