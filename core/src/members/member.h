#ifndef MEMBER_H
#define MEMBER_H

#include "suspicion.h"

#include <core/member_update.h>

/*
 * What this node knows of one member. node.state is the state that the member
 * announced, or dead; a suspicion is stored separately.
 */
struct member {
	struct node node;
	bool is_suspect;
	/* Suspect and unreachable because of a partition; see NODE_CUT_OFF. */
	bool is_cut_off;
	/*
	 * Set for this node only, after a pause while serving, until a peer
	 * confirms that it is alive or reports it dead, the verification times
	 * out, or the node leaves or stops.
	 */
	bool is_unverified;
	struct suspicion suspicion;
	uint32_t reprobe_count;
	int64_t last_ack_ms;
	/*
	 * Last time a message came from it, or another node passed on a new
	 * incarnation of it.
	 */
	int64_t last_heard_ms;
	int64_t died_ms;
	uint64_t last_accuser_id;
	/* How many more times its update is gossiped. */
	uint32_t sends_left;
};

enum node_state member_view_state(const struct member *member);
bool member_is_live(const struct member *member);
struct member_update member_to_update(const struct member *member);
struct member_update member_to_full_update(const struct member *member);
uint64_t member_digest(const struct member *member);

#endif
