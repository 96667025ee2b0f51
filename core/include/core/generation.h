#ifndef CORE_GENERATION_H
#define CORE_GENERATION_H

#include <core/service.h>

/*
 * The agreed set of targets of one service. It is published by
 * compare-and-swap through the platform's service, so every node that holds
 * the same number holds the same targets in the same order.
 */
struct generation {
	uint32_t service_id;
	uint64_t number;
	uint32_t target_count;
	const struct target *targets;
};

#endif
