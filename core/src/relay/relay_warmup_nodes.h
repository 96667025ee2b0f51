#ifndef RELAY_WARMUP_NODES_H
#define RELAY_WARMUP_NODES_H

#include <core/relay_peer.h>
#include <glib.h>

/*
 * since_ms is when the node was listed first, last_ms when it was last listed
 * if it no longer is.
 */
struct warmup_node {
	uint64_t node_id;
	uint32_t zone_id;
	int64_t since_ms;
	int64_t last_ms;
	bool is_listed;
};

/*
 * The nodes that share the tokens of cold targets, sorted by zone. Lists of the
 * store reach nodes at different times. So a node that is listed counts at
 * once, one that is no longer listed still counts for a while, and this node
 * waits before it uses its own part, until all others count it. generation
 * changes with the content.
 */
struct relay_warmup_nodes {
	GArray *list;
	uint32_t generation;
};

struct relay_warmup_nodes *relay_warmup_nodes_new(void);
void relay_warmup_nodes_free(struct relay_warmup_nodes *nodes);
void relay_warmup_nodes_set(struct relay_warmup_nodes *nodes,
			    const GArray *peers, int64_t now_ms);
void relay_warmup_nodes_sweep(struct relay_warmup_nodes *nodes, int64_t now_ms);
bool relay_warmup_nodes_is_settled(const struct relay_warmup_nodes *nodes,
				   uint64_t node_id, int64_t now_ms);

#endif
