#ifndef CORE_RELAY_PEER_H
#define CORE_RELAY_PEER_H

#include <core/endpoint.h>

/*
 * A node as registered in the store. node_id is a hash of its name. link_mbps
 * is its bandwidth. The nodes with the highest bandwidth read the store, and
 * the others get its content from them.
 */
struct relay_peer {
	uint64_t node_id;
	uint32_t zone_id;
	uint32_t link_mbps;
	struct endpoint endpoint;
};

uint64_t relay_peer_id_from_name(const char *name);

#endif
