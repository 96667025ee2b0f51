#include "demo_drain.h"

#include <inttypes.h>
#include <stdio.h>

/* How long nodes have to learn of the drain. */
#define SETTLE_S 4

static void start(struct demo_drain *drain)
{
	char text[ENDPOINT_TEXT_BYTES];

	printf("drain: %s leaves\n",
	       endpoint_format(
		       demo_targets_endpoint(drain->targets, drain->target),
		       text));
	demo_platform_drain(drain->platform, drain->target);
}

static void settle(struct demo_drain *drain)
{
	drain->is_settled = true;
	drain->request_count =
		demo_targets_request_count(drain->targets, drain->target);
	drain->flow_count =
		fake_fabric_target_flows(drain->fabric, drain->target);
}

/* Call it each second; starts the drain and later notes what was there. */
void demo_drain_second(struct demo_drain *drain, uint32_t second)
{
	if (second == drain->start_s)
		start(drain);
	if (second == drain->start_s + SETTLE_S)
		settle(drain);
}

/* Prints what came to the target behind the drain; false if anything did. */
bool demo_drain_report(const struct demo_drain *drain)
{
	uint64_t requests;
	uint64_t flows;

	if (!drain->is_settled) {
		printf("drained target: not judged, the run was too short\n");
		return true;
	}
	requests = demo_targets_request_count(drain->targets, drain->target) -
		   drain->request_count;
	flows = fake_fabric_target_flows(drain->fabric, drain->target) -
		drain->flow_count;
	printf("drained target, from %d s on: %" PRIu64 " new flows, %" PRIu64
	       " requests\n",
	       SETTLE_S, flows, requests);
	return requests == 0 && flows == 0;
}
