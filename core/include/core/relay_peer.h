#ifndef CORE_RELAY_PEER_H
#define CORE_RELAY_PEER_H

#include <core/endpoint.h>

/*
 * Another node, as it entered itself in the store; the id hashes its name.
 * Nodes with much bandwidth read the store for the others.
 */
struct relay_peer {
	uint64_t node_id;
	uint32_t zone_id;
	uint32_t link_mbps;
	struct endpoint endpoint;
};

uint64_t relay_peer_id_from_name(const char *name);

#endif
