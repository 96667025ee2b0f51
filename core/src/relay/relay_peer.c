#include <core/relay_peer.h>

#include <core/node.h>
#include <string.h>
#include <xxhash.h>

/* Derives a node's id from its name, the same on all nodes. */
uint64_t relay_peer_id_from_name(const char *name)
{
	uint64_t node_id = XXH64(name, strlen(name), 0);

	return node_id != NODE_NONE ? node_id : 1;
}
