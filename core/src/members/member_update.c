#include <core/member_update.h>

/* Returns whether the update is a node's description of itself. */
bool member_update_is_full(const struct member_update *update)
{
	return update->node.state < NODE_SUSPECT;
}
