#include "relay_warmup_nodes.h"

/*
 * A list of the store reaches the nodes that can be reached within 2 s, also
 * through other nodes. One that is a second older still knows of a node that
 * has gone.
 */
#define SETTLE_MS 2000
#define LINGER_MS 3000

/* Creates an empty list. Free it with relay_warmup_nodes_free. */
struct relay_warmup_nodes *relay_warmup_nodes_new(void)
{
	struct relay_warmup_nodes *nodes = g_new0(struct relay_warmup_nodes, 1);

	nodes->list = g_array_new(FALSE, TRUE, sizeof(struct warmup_node));
	nodes->generation = 1;
	return nodes;
}

/* Frees the list; NULL is allowed. */
void relay_warmup_nodes_free(struct relay_warmup_nodes *nodes)
{
	if (!nodes)
		return;
	g_array_free(nodes->list, TRUE);
	g_free(nodes);
}

static struct warmup_node *at(const struct relay_warmup_nodes *nodes, guint i)
{
	return &g_array_index(nodes->list, struct warmup_node, i);
}

static struct warmup_node *find(const struct relay_warmup_nodes *nodes,
				uint64_t node_id)
{
	for (guint i = 0; i < nodes->list->len; i++) {
		if (at(nodes, i)->node_id == node_id)
			return at(nodes, i);
	}
	return NULL;
}

static gint compare_zones(gconstpointer a, gconstpointer b)
{
	uint32_t left = ((const struct warmup_node *)a)->zone_id;
	uint32_t right = ((const struct warmup_node *)b)->zone_id;

	return left < right ? -1 : left > right;
}

static void add(struct relay_warmup_nodes *nodes, const struct relay_peer *peer,
		int64_t now_ms)
{
	const struct warmup_node node = {
		.node_id = peer->node_id,
		.zone_id = peer->zone_id,
		.since_ms = now_ms,
		.is_listed = true,
	};

	g_array_append_val(nodes->list, node);
	nodes->generation++;
}

static void mark_unlisted(struct relay_warmup_nodes *nodes, int64_t now_ms)
{
	for (guint i = 0; i < nodes->list->len; i++) {
		struct warmup_node *node = at(nodes, i);

		if (node->is_listed)
			node->last_ms = now_ms;
		node->is_listed = false;
	}
}

/* Sets the nodes that the store lists, an array of struct relay_peer. */
void relay_warmup_nodes_set(struct relay_warmup_nodes *nodes,
			    const GArray *peers, int64_t now_ms)
{
	relay_warmup_nodes_sweep(nodes, now_ms);
	mark_unlisted(nodes, now_ms);
	for (guint i = 0; i < peers->len; i++) {
		const struct relay_peer *peer =
			&g_array_index(peers, struct relay_peer, i);
		struct warmup_node *node = find(nodes, peer->node_id);

		if (!node) {
			add(nodes, peer, now_ms);
			continue;
		}
		if (node->zone_id != peer->zone_id)
			nodes->generation++;
		node->zone_id = peer->zone_id;
		node->is_listed = true;
	}
	g_array_sort(nodes->list, compare_zones);
}

/* Removes the nodes that have not been listed for LINGER_MS. */
void relay_warmup_nodes_sweep(struct relay_warmup_nodes *nodes, int64_t now_ms)
{
	for (guint i = nodes->list->len; i > 0; i--) {
		const struct warmup_node *node = at(nodes, i - 1);

		if (node->is_listed || now_ms - node->last_ms < LINGER_MS)
			continue;
		g_array_remove_index(nodes->list, i - 1);
		nodes->generation++;
	}
}

/* Returns whether a node has been listed for so long that all count it. */
bool relay_warmup_nodes_is_settled(const struct relay_warmup_nodes *nodes,
				   uint64_t node_id, int64_t now_ms)
{
	const struct warmup_node *node = find(nodes, node_id);

	return node && now_ms - node->since_ms >= SETTLE_MS;
}
