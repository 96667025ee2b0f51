#ifndef CORE_NODE_H
#define CORE_NODE_H

#include <core/endpoint.h>

#define NODE_NONE 0

/*
 * The state of a node, as it announces it or as its peers see it. NODE_CUT_OFF:
 * a suspect that cannot be reached, but is not assumed to be dead, because its
 * zone is partitioned or the node with this view is isolated.
 */
enum node_state {
	NODE_JOINING,
	NODE_SERVING,
	NODE_LEAVING,
	NODE_SUSPECT,
	NODE_DEAD,
	NODE_CUT_OFF,
	NODE_STATE_COUNT,
};

/*
 * An entry VM that runs shallotd. The id is drawn at random at start, so a
 * restarted node is a new node. A node raises its incarnation to refute a
 * suspicion. control and packets are the endpoints at which the node receives
 * control messages and forwarded packets.
 */
struct node {
	uint64_t node_id;
	uint64_t feature_bits;
	uint32_t incarnation;
	uint32_t zone_id;
	uint32_t region_id;
	enum node_state state;
	struct endpoint control;
	struct endpoint packets;
};

const char *node_state_name(enum node_state state);
uint64_t node_rendezvous_score(uint64_t node_id, uint64_t slot);

#endif
