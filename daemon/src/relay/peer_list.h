#ifndef PEER_LIST_H
#define PEER_LIST_H

#include <core/relay_peer.h>
#include <glib.h>

/* Searches an array of struct relay_peer, the nodes that the store lists. */
const struct relay_peer *peer_list_find(const GArray *list,
					const struct endpoint *endpoint);
uint32_t peer_list_receiver_count(const GArray *list,
				  const struct relay_peer *sender,
				  bool is_own_zone);

#endif
