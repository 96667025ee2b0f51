#ifndef FAKES_FAKE_CALLER_H
#define FAKES_FAKE_CALLER_H

#include <fakes/end_event.h>
#include <glib.h>

/*
 * Stand-in callers of one zone and the router before them: a task that opens
 * flows, sends requests on them and hands each packet to a node in rotation.
 */
struct fake_caller;

/* A node that the router knows. One without an admin address always counts. */
struct caller_node {
	struct endpoint packets;
	struct endpoint admin;
	const char *zone;
};

/* A service's address and how it is used: by how large a share of flows. */
struct caller_route {
	struct endpoint address;
	uint32_t share;
};

/*
 * Callers have one address and take packets at the nodes' port. Each flow
 * carries requests until it is flow_ms old, pause_ms apart. With is_steady, a
 * node that joins or leaves moves only its own flows, otherwise nearly all.
 */
struct fake_caller_options {
	const char *zone;
	struct endpoint listen;
	const struct caller_node *nodes;
	uint32_t node_count;
	uint32_t flows_per_s;
	uint32_t flow_ms;
	uint32_t pause_ms;
	bool is_steady;
	uint64_t seed;
	struct end_observer observer;
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
