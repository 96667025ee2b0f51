#ifndef CORE_MEMBER_UPDATE_H
#define CORE_MEMBER_UPDATE_H

#include <core/node.h>

/*
 * An update about one node. A node describes itself in full, as joining,
 * serving or leaving. Updates about other nodes say suspect or dead, and need
 * only node_id, incarnation, state and accuser_id.
 */
struct member_update {
	struct node node;
	uint64_t accuser_id;
};

bool member_update_is_full(const struct member_update *update);

#endif
