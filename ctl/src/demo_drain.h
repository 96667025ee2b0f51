#ifndef DEMO_DRAIN_H
#define DEMO_DRAIN_H

#include "demo_platform.h"

#include <stdbool.h>

/*
 * The drain halfway through the demo. The baseline counts are taken once all
 * nodes have had time to learn of the drain; from then on the target must not
 * get new flows or requests.
 */
struct demo_drain {
	struct demo_platform *platform;
	const struct demo_targets *targets;
	const struct fake_fabric *fabric;
	uint32_t target;
	uint32_t start_s;
	uint64_t baseline_request_count;
	uint64_t baseline_flow_count;
	bool has_baseline;
};

void demo_drain_tick(struct demo_drain *drain, uint32_t elapsed_s);
bool demo_drain_report(const struct demo_drain *drain);

#endif
