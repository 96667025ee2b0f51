#include "demo_drain.h"

#include <inttypes.h>
#include <stdio.h>

/* The time allowed for the drain to reach all nodes. */
#define UPDATE_DELAY_MAX_S 4

static void start_drain(struct demo_drain *drain)
{
	char text[ENDPOINT_TEXT_BYTES];

	printf("draining target %s\n",
	       endpoint_format(
		       demo_targets_endpoint(drain->targets, drain->target),
		       text));
	demo_platform_drain(drain->platform, drain->target);
}

static void record_baseline(struct demo_drain *drain)
{
	drain->has_baseline = true;
	drain->baseline_request_count =
		demo_targets_request_count(drain->targets, drain->target);
	drain->baseline_flow_count =
		fake_fabric_target_flow_count(drain->fabric, drain->target);
}

/* Starts the drain and records the baseline when due; call it every second. */
void demo_drain_tick(struct demo_drain *drain, uint32_t elapsed_s)
{
	if (elapsed_s == drain->start_s)
		start_drain(drain);
	if (elapsed_s == drain->start_s + UPDATE_DELAY_MAX_S)
		record_baseline(drain);
}

/* Prints the target's new work after the drain; returns false if it got any. */
bool demo_drain_report(const struct demo_drain *drain)
{
	uint64_t requests;
	uint64_t flows;

	if (!drain->has_baseline) {
		printf("drained target: not checked, the run was too short\n");
		return true;
	}
	requests = demo_targets_request_count(drain->targets, drain->target) -
		   drain->baseline_request_count;
	flows = fake_fabric_target_flow_count(drain->fabric, drain->target) -
		drain->baseline_flow_count;
	printf("drained target, after %d s: %" PRIu64 " new flows, %" PRIu64
	       " requests\n",
	       UPDATE_DELAY_MAX_S, flows, requests);
	return requests == 0 && flows == 0;
}
