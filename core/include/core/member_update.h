#ifndef CORE_MEMBER_UPDATE_H
#define CORE_MEMBER_UPDATE_H

#include <core/node.h>

/*
 * What one node tells another of a third. A node describes itself in full, as
 * joining, serving or leaving; of others it says suspect or dead, for which
 * node_id, incarnation, state and the accuser are enough.
 */
struct member_update {
	struct node node;
	uint64_t accuser_id;
};

bool member_update_is_full(const struct member_update *update);

#endif
