#ifndef CORE_NODE_H
#define CORE_NODE_H

#include <core/endpoint.h>

#define NODE_NONE 0

/*
 * What a node says of itself, or what its peers hold of it. A node that is
 * cut off lives on, as far as is known, but cannot be reached from here.
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
 * An entry VM running shallotd. The id is drawn at start, so a restarted node
 * is a new node; the incarnation rises when a node refutes a suspicion.
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
uint64_t node_rank_score(uint64_t node_id, uint64_t slot);

#endif
