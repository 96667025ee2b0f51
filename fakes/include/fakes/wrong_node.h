#ifndef FAKES_WRONG_NODE_H
#define FAKES_WRONG_NODE_H

#include <core/endpoint.h>
#include <glib.h>

/*
 * A fake node that forwards by tag and has one deliberate fault, to verify that
 * the checks of a run detect it. It is given the hosts and routes that a real
 * node reads from the store.
 */
struct wrong_node;

enum wrong_node_fault {
	WRONG_NODE_NONE,
	/* Opens flows on draining hosts as well. */
	WRONG_NODE_USES_DRAINING,
	/* Ignores the removal of routes. */
	WRONG_NODE_KEEPS_ROUTES,
	/* Uses removed routes again, some time after the last removal. */
	WRONG_NODE_GOES_BACK,
	/* Resets some open flows. */
	WRONG_NODE_RESETS_OPEN,
	/* Corrupts some packets. */
	WRONG_NODE_CHANGES_PACKETS,
	/* Sends each packet of an open flow to a random host of its service. */
	WRONG_NODE_MOVES_FLOWS,
	/* Opens flows on hosts of any service. */
	WRONG_NODE_USES_ANY_SERVICE,
	/* Resets every new flow. */
	WRONG_NODE_REFUSES,
	/* Drops every opening packet. */
	WRONG_NODE_DROPS,
};

struct wrong_node_options {
	struct endpoint listen;
	uint16_t caller_port;
	enum wrong_node_fault fault;
};

/* A host's store entry; service is the number that routes refer to. */
struct wrong_node_host {
	uint64_t host_id;
	uint32_t service;
	struct endpoint endpoint;
	bool is_ready;
};

/* A route; is_present tells whether it is in force. */
struct wrong_node_route {
	struct endpoint address;
	uint32_t service;
	bool is_present;
};

struct wrong_node *wrong_node_new(const struct wrong_node_options *options,
				  GError **error);
void wrong_node_free(struct wrong_node *node);
void wrong_node_set_host(struct wrong_node *node,
			 const struct wrong_node_host *host);
void wrong_node_set_route(struct wrong_node *node,
			  const struct wrong_node_route *route);

#endif
