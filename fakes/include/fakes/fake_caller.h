#ifndef FAKES_FAKE_CALLER_H
#define FAKES_FAKE_CALLER_H

#include <fakes/flow_event.h>
#include <glib.h>

/*
 * Fake callers of one zone and the router in front of them: a task that opens
 * flows, sends requests on them and forwards each packet to a node in rotation.
 */
struct fake_caller;

/*
 * A node that the router can use. One whose admin port is 0 is not probed and
 * always in rotation.
 */
struct caller_node {
	struct endpoint packets;
	struct endpoint admin;
	const char *zone;
};

/*
 * A service address and its weight in the random choice of a service for a new
 * flow.
 */
struct caller_route {
	struct endpoint address;
	uint32_t weight;
};

/*
 * A kind of flows, whose share of all flows is given by weight. Each flow of
 * the kind sends a request after a pause after each response, drawn anew within
 * its limits, until its lifetime, drawn from 0 to 2 * mean_lifetime_ms, is
 * over.
 */
struct caller_flow_kind {
	uint32_t weight;
	uint32_t mean_lifetime_ms;
	uint32_t pause_min_ms;
	uint32_t pause_max_ms;
};

/*
 * listen is the address of all callers and the port where they receive packets.
 * flow_kinds must outlive the callers. With is_consistent_hash,
 * a node that joins or leaves moves only its own flows; otherwise nearly all
 * flows move.
 */
struct fake_caller_options {
	const char *zone;
	struct endpoint listen;
	const struct caller_node *nodes;
	uint32_t node_count;
	uint32_t flows_per_s;
	const struct caller_flow_kind *flow_kinds;
	uint32_t flow_kind_count;
	bool is_consistent_hash;
	uint64_t seed;
	struct flow_observer observer;
};

struct fake_caller *fake_caller_new(const struct fake_caller_options *options,
				    GError **error);
void fake_caller_free(struct fake_caller *caller);
void fake_caller_set_routes(struct fake_caller *caller,
			    const struct caller_route *routes, uint32_t count);
void fake_caller_set_loss(struct fake_caller *caller, uint32_t node,
			  uint32_t loss_percent);
void fake_caller_finish(struct fake_caller *caller);

#endif
