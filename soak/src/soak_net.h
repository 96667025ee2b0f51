#ifndef SOAK_NET_H
#define SOAK_NET_H

#include <core/endpoint.h>

/*
 * The loopback addresses of a run, by role, in subnets chosen by process id so
 * that concurrent runs do not collide. Nodes and callers receive packets on the
 * same port.
 */
enum soak_net_role {
	SOAK_NET_STORE,
	SOAK_NET_NODE_PACKETS,
	SOAK_NET_NODE_ADMIN,
	SOAK_NET_NODE_METRICS,
	SOAK_NET_NODE_PEERS,
	SOAK_NET_NODE_STORE,
	SOAK_NET_HOST,
	SOAK_NET_CALLER,
	SOAK_NET_ROLE_COUNT,
};

struct endpoint soak_net_endpoint(enum soak_net_role role, uint32_t index);

#endif
