#include "gossip_peers.h"

/* The rendezvous-hashing slot that ranks a zone's nodes: "watc" in ASCII. */
#define WATCH_SLOT 0x77617463

struct gossip_peers {
	uint64_t self_id;
	uint32_t zone_id;
	struct node_view *view;
	uint32_t rank;
	uint64_t reporter_id;
	uint64_t common_features;
};

/*
 * Makes peers without a view, in which this node has the lowest rank. Free them
 * with gossip_peers_free.
 */
struct gossip_peers *gossip_peers_new(uint64_t self_id, uint32_t zone_id)
{
	struct gossip_peers *peers = g_new0(struct gossip_peers, 1);

	peers->self_id = self_id;
	peers->zone_id = zone_id;
	peers->rank = UINT32_MAX;
	peers->reporter_id = self_id;
	return peers;
}

/* Frees the peers; NULL is allowed. */
void gossip_peers_free(struct gossip_peers *peers)
{
	if (!peers)
		return;
	node_view_free(peers->view);
	g_free(peers);
}

static bool is_peer(const struct gossip_peers *peers, const struct node *node)
{
	return node->node_id != peers->self_id && node->state != NODE_DEAD;
}

static bool may_watch(const struct gossip_peers *peers, const struct node *node)
{
	return node->node_id != peers->self_id &&
	       node->zone_id == peers->zone_id &&
	       (node->state == NODE_SERVING || node->state == NODE_JOINING);
}

/* Ranks this node in its zone by score; the highest-ranked is the reporter. */
static void update_rank(struct gossip_peers *peers)
{
	uint64_t own_score = node_rendezvous_score(peers->self_id, WATCH_SLOT);
	uint64_t best_score = own_score;

	peers->rank = 0;
	peers->reporter_id = peers->self_id;
	for (uint32_t i = 0; i < node_view_count(peers->view); i++) {
		const struct node *node = node_view_at(peers->view, i);
		uint64_t score =
			node_rendezvous_score(node->node_id, WATCH_SLOT);

		if (!may_watch(peers, node))
			continue;
		peers->rank += score > own_score ? 1 : 0;
		if (score > best_score) {
			best_score = score;
			peers->reporter_id = node->node_id;
		}
	}
}

/* Copies the view, and updates the rank and the common features. */
void gossip_peers_set_view(struct gossip_peers *peers,
			   const struct node_view *view)
{
	node_view_free(peers->view);
	peers->view = node_view_copy(view);
	update_rank(peers);
	peers->common_features = UINT64_MAX;
	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);

		if (is_peer(peers, node))
			peers->common_features &= node->feature_bits;
	}
}

/* Returns whether a view has been set. */
bool gossip_peers_has_view(const struct gossip_peers *peers)
{
	return peers->view != NULL;
}

/* Picks a random live peer; returns NODE_NONE if there is none. */
uint64_t gossip_peers_pick_random(const struct gossip_peers *peers, GRand *rand)
{
	uint32_t count = peers->view ? node_view_count(peers->view) : 0;
	uint32_t first;

	if (count == 0)
		return NODE_NONE;
	first = (uint32_t)g_rand_int_range(rand, 0, (gint32)count);
	for (uint32_t i = 0; i < count; i++) {
		const struct node *node =
			node_view_at(peers->view, (first + i) % count);

		if (is_peer(peers, node))
			return node->node_id;
	}
	return NODE_NONE;
}

/* Returns the number of nodes of the zone that rank higher than this node. */
uint32_t gossip_peers_rank(const struct gossip_peers *peers)
{
	return peers->rank;
}

/* Returns the id of the zone's reporter, the highest-ranked node. */
uint64_t gossip_peers_reporter_id(const struct gossip_peers *peers)
{
	return peers->reporter_id;
}

/* Returns the features that all live peers support; 0 without a view. */
uint64_t gossip_peers_common_features(const struct gossip_peers *peers)
{
	return peers->common_features;
}
