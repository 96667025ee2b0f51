#ifndef CORE_RELAY_SOUGHT_FLOW_H
#define CORE_RELAY_SOUGHT_FLOW_H

#include <core/flow_key.h>
#include <stdint.h>

/* Maximum number of flows that are sought at a time. */
#define RELAY_SOUGHT_COUNT_MAX 64

/*
 * A flow that a node has sent an opening packet of to a target, and that
 * another node may have. sequence is the sequence number of the opening packet,
 * which tells the flow from others between the same ports.
 */
struct relay_sought_flow {
	struct hash128 hash;
	uint32_t sequence;
};

#endif
