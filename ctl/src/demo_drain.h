#ifndef DEMO_DRAIN_H
#define DEMO_DRAIN_H

#include "demo_platform.h"

#include <stdbool.h>

/*
 * The drain in the middle of the demo: one target leaves, and from a few
 * seconds later on it may get no new work.
 */
struct demo_drain {
	struct demo_platform *platform;
	const struct demo_targets *targets;
	const struct fake_fabric *fabric;
	uint32_t target;
	uint32_t start_s;
	uint64_t request_count;
	uint64_t flow_count;
	bool is_settled;
};

void demo_drain_second(struct demo_drain *drain, uint32_t second);
bool demo_drain_report(const struct demo_drain *drain);

#endif
