#ifndef GOSSIP_PEERS_H
#define GOSSIP_PEERS_H

#include <core/node_view.h>
#include <glib.h>

/*
 * A node's view of its peers, and its rank among the nodes of its zone; the
 * highest-ranked nodes watch the store.
 */
struct gossip_peers;

struct gossip_peers *gossip_peers_new(uint64_t self_id, uint32_t zone_id);
void gossip_peers_free(struct gossip_peers *peers);
void gossip_peers_set_view(struct gossip_peers *peers,
			   const struct node_view *view);
bool gossip_peers_has_view(const struct gossip_peers *peers);
uint64_t gossip_peers_pick_random(const struct gossip_peers *peers,
				  GRand *rand);
uint32_t gossip_peers_rank(const struct gossip_peers *peers);
uint64_t gossip_peers_reporter_id(const struct gossip_peers *peers);
uint64_t gossip_peers_common_features(const struct gossip_peers *peers);

#endif
