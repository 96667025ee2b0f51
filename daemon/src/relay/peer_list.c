#include "peer_list.h"

static const struct relay_peer *at(const GArray *list, guint index)
{
	return &g_array_index(list, struct relay_peer, index);
}

/* Returns the node with this address, or NULL. */
const struct relay_peer *peer_list_find(const GArray *list,
					const struct endpoint *endpoint)
{
	for (guint i = 0; i < list->len; i++) {
		if (endpoint_equal(&at(list, i)->endpoint, endpoint))
			return at(list, i);
	}
	return NULL;
}

/*
 * Returns the number of nodes that get a sender's reports: the others of its
 * zone if is_own_zone, those of all other zones if not.
 */
uint32_t peer_list_receiver_count(const GArray *list,
				  const struct relay_peer *sender,
				  bool is_own_zone)
{
	uint32_t count = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct relay_peer *peer = at(list, i);

		if (peer->node_id != sender->node_id &&
		    (peer->zone_id == sender->zone_id) == is_own_zone)
			count++;
	}
	return count;
}
