#ifndef MEMBER_H
#define MEMBER_H

#include "suspicion.h"

#include <core/member_update.h>

/*
 * What this node holds of one member. node.state is what the member said of
 * itself, or dead; suspicion is kept beside it. Of itself a node is unsure
 * after a pause, until a peer has said what became of it.
 */
struct member {
	struct node node;
	bool is_suspect;
	/* Suspected for a while, and its zone or this node is cut off. */
	bool is_cut_off;
	bool is_unverified;
	struct suspicion suspicion;
	uint32_t reprobe_count;
	int64_t last_ack_ms;
	/* When it last gave a sign of life, itself or through others. */
	int64_t last_heard_ms;
	int64_t died_ms;
	uint64_t last_accuser_id;
	uint32_t sends_left;
};

enum node_state member_view_state(const struct member *member);
bool member_is_live(const struct member *member);
struct member_update member_to_update(const struct member *member);
struct member_update member_to_full_update(const struct member *member);
uint64_t member_digest(const struct member *member);

#endif
