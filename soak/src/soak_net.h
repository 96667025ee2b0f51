#ifndef SOAK_NET_H
#define SOAK_NET_H

#include <core/endpoint.h>

/*
 * The loopback addresses of a run, in a part of loopback that its process
 * alone uses. Nodes and callers take packets at the same port.
 */
enum soak_net_part {
	SOAK_NET_STORE,
	SOAK_NET_NODE_PACKETS,
	SOAK_NET_NODE_ADMIN,
	SOAK_NET_NODE_METRICS,
	SOAK_NET_NODE_PEERS,
	SOAK_NET_NODE_STORE,
	SOAK_NET_HOST,
	SOAK_NET_CALLER,
	SOAK_NET_PART_COUNT,
};

struct endpoint soak_net_endpoint(enum soak_net_part part, uint32_t index);

#endif
