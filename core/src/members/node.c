#define XXH_INLINE_ALL
#include <core/node.h>

#include <xxhash.h>

static const char *const state_names[NODE_STATE_COUNT] = {
	[NODE_JOINING] = "joining", [NODE_SERVING] = "serving",
	[NODE_LEAVING] = "leaving", [NODE_SUSPECT] = "suspect",
	[NODE_DEAD] = "dead",	    [NODE_CUT_OFF] = "cut_off",
};

/* Returns the name used in logs and in the status. */
const char *node_state_name(enum node_state state)
{
	return state < NODE_STATE_COUNT ? state_names[state] : "invalid";
}

/*
 * Returns the score of a node for a slot in rendezvous hashing (Thaler and
 * Ravishankar, 1998). The node with the highest score owns the slot.
 */
uint64_t node_rendezvous_score(uint64_t node_id, uint64_t slot)
{
	uint64_t input[2] = {node_id, slot};

	return XXH3_64bits(input, sizeof(input));
}
