#include "member.h"

#include <xxhash.h>

/*
 * Returns the state others are shown. A member that is joining or leaving
 * keeps that state while suspect, so that it does not become a home by it.
 */
enum node_state member_view_state(const struct member *member)
{
	if (member->is_unverified)
		return NODE_JOINING;
	if (member->node.state == NODE_SERVING && member->is_suspect)
		return member->is_cut_off ? NODE_CUT_OFF : NODE_SUSPECT;
	return member->node.state;
}

/* Tells whether the member is not known to be dead. */
bool member_is_live(const struct member *member)
{
	return member->node.state != NODE_DEAD;
}

/* Returns the news about a member that others should hear. */
struct member_update member_to_update(const struct member *member)
{
	struct member_update update = member_to_full_update(member);

	update.accuser_id = member->last_accuser_id;
	if (member->is_suspect)
		update.node.state = NODE_SUSPECT;
	return update;
}

/* Returns the member's own description of itself, whoever suspects it. */
struct member_update member_to_full_update(const struct member *member)
{
	return (struct member_update){.node = member->node};
}

/*
 * Hashes what all nodes should come to agree on about a member. Suspicions
 * and dead members differ from node to node and are left out.
 */
uint64_t member_digest(const struct member *member)
{
	uint64_t input[3] = {member->node.node_id, member->node.incarnation,
			     member->node.state};

	return member_is_live(member) ? XXH3_64bits(input, sizeof(input)) : 0;
}
