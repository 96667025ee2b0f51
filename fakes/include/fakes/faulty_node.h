#ifndef FAKES_FAULTY_NODE_H
#define FAKES_FAULTY_NODE_H

#include <core/endpoint.h>
#include <glib.h>

/*
 * A fake node that forwards by tag and has one deliberate fault, to verify that
 * the checks of the soak test detect it. It is given the hosts, routes and
 * evacuated zones that a real node reads from the store.
 */
struct faulty_node;

enum faulty_node_fault {
	FAULTY_NODE_NONE,
	/* Opens flows on draining hosts, which must get no new flows. */
	FAULTY_NODE_USES_DRAINING_HOSTS,
	/* Ignores the removal of routes. */
	FAULTY_NODE_KEEPS_ROUTES,
	/* Uses removed routes again, REVERT_AFTER_MS after the last removal. */
	FAULTY_NODE_REVERTS_ROUTES,
	/* Resets some open flows. */
	FAULTY_NODE_RESETS_OPEN_FLOWS,
	/* Corrupts some packets. */
	FAULTY_NODE_CORRUPTS_PACKETS,
	/* Sends each packet of an open flow to a random host of its service. */
	FAULTY_NODE_MOVES_FLOWS,
	/* Opens flows on hosts of any service. */
	FAULTY_NODE_USES_ANY_SERVICE,
	/* Resets every new flow. */
	FAULTY_NODE_RESETS_NEW_FLOWS,
	/* Drops every opening packet. */
	FAULTY_NODE_DROPS_OPENINGS,
	/* Sends all flows from a caller's port to the host of the first one. */
	FAULTY_NODE_KEEPS_RECORDS,
	/* Opens flows on hosts of evacuated zones. */
	FAULTY_NODE_IGNORES_EVACUATION,
	/* Believes another writer's entry of a host about its service. */
	FAULTY_NODE_TRUSTS_FOREIGN_SERVICE,
	/* Believes another writer's entry of a host about its state. */
	FAULTY_NODE_TRUSTS_FOREIGN_STATE,
	/* Sends opening packets once more, late, to another host. */
	FAULTY_NODE_REPEATS_OPENINGS,
};

struct faulty_node_options {
	struct endpoint listen;
	uint16_t caller_port;
	enum faulty_node_fault fault;
};

/*
 * A host's store entry; service is the number that routes refer to, and zone
 * the one that evacuations refer to.
 */
struct faulty_node_host {
	uint64_t host_id;
	uint32_t service;
	uint32_t zone;
	struct endpoint endpoint;
	bool is_ready;
};

/* A route; is_present tells whether it is in force. */
struct faulty_node_route {
	struct endpoint address;
	uint32_t service;
	bool is_present;
};

/* A zone of hosts, and whether it is to get no new flows. */
struct faulty_node_evacuation {
	uint32_t zone;
	bool is_evacuated;
};

struct faulty_node *faulty_node_new(const struct faulty_node_options *options,
				    GError **error);
void faulty_node_free(struct faulty_node *node);
void faulty_node_set_host(struct faulty_node *node,
			  const struct faulty_node_host *host);
void faulty_node_set_foreign_entry(struct faulty_node *node,
				   const struct faulty_node_host *claimed);
void faulty_node_set_route(struct faulty_node *node,
			   const struct faulty_node_route *route);
void faulty_node_set_evacuation(
	struct faulty_node *node,
	const struct faulty_node_evacuation *evacuation);

#endif
