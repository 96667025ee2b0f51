#include "member.h"

#include <xxhash.h>

/*
 * Returns the state shown in the node view. A suspect that is joining or
 * leaving keeps that state: shown as suspect it would count as a serving node,
 * which can be the home of flows.
 */
enum node_state member_view_state(const struct member *member)
{
	if (member->is_unverified)
		return NODE_JOINING;
	if (member->node.state == NODE_SERVING && member->is_suspect)
		return member->is_cut_off ? NODE_CUT_OFF : NODE_SUSPECT;
	return member->node.state;
}

/* Returns whether the member is live, that is, not known to be dead. */
bool member_is_live(const struct member *member)
{
	return member->node.state != NODE_DEAD;
}

/* Returns the update to gossip about the member. */
struct member_update member_to_update(const struct member *member)
{
	struct member_update update = member_to_full_update(member);

	update.accuser_id = member->last_accuser_id;
	if (member->is_suspect)
		update.node.state = NODE_SUSPECT;
	return update;
}

/* Returns the member's description of itself, without any suspicion. */
struct member_update member_to_full_update(const struct member *member)
{
	return (struct member_update){.node = member->node};
}

/*
 * Hashes the state of a member on which all nodes should converge. Suspicions
 * and dead members are left out, because they differ from node to node.
 */
uint64_t member_digest(const struct member *member)
{
	uint64_t input[3] = {member->node.node_id, member->node.incarnation,
			     member->node.state};

	return member_is_live(member) ? XXH3_64bits(input, sizeof(input)) : 0;
}
