#ifndef CORE_SLOW_START_H
#define CORE_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

#define SLOW_START_FULL_MILLI 1000

/* Raises the share of a cold target step by step while it warms up. */
struct slow_start {
	int64_t began_ms;
	bool is_warming;
};

void slow_start_begin(struct slow_start *start, int64_t now_ms);
uint32_t slow_start_share_milli(struct slow_start *start, int64_t now_ms);

#endif
