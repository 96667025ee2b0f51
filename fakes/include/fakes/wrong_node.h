#ifndef FAKES_WRONG_NODE_H
#define FAKES_WRONG_NODE_H

#include <core/endpoint.h>
#include <glib.h>

/*
 * A stand-in node that forwards by tag and makes one mistake, to see that a
 * checker finds it. It is told what a node would read from the store.
 */
struct wrong_node;

enum wrong_node_fault {
	WRONG_NODE_NONE,
	WRONG_NODE_USES_DRAINING,
	WRONG_NODE_KEEPS_ROUTES,
	WRONG_NODE_GOES_BACK,
	WRONG_NODE_RESETS_OPEN,
	WRONG_NODE_CHANGES_PACKETS,
	WRONG_NODE_MOVES_FLOWS,
	WRONG_NODE_USES_ANY_SERVICE,
	WRONG_NODE_REFUSES,
	WRONG_NODE_DROPS,
};

struct wrong_node_options {
	struct endpoint listen;
	uint16_t caller_port;
	enum wrong_node_fault fault;
};

/* What a host's entry says; service is what routes name. */
struct wrong_node_host {
	uint64_t host_id;
	uint32_t service;
	struct endpoint endpoint;
	bool is_ready;
};

/* A route, in force or not. */
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
