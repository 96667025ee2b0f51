#include <core/home_map.h>

#include <glib.h>

struct home_map {
	struct slot_homes slots[HOME_SLOT_COUNT];
};

/* A node as it ranks for one slot. */
struct ranked {
	const struct node *node;
	uint64_t score;
};

/* Returns the slot of a flow; the lower half of its print is enough. */
uint16_t home_slot(uint64_t print_low)
{
	return (uint16_t)(print_low % HOME_SLOT_COUNT);
}

/* Tells whether a node can be a home, as far as a view tells. */
bool home_node_is_live(const struct node *node)
{
	return node->state == NODE_SERVING || node->state == NODE_SUSPECT;
}

static void take_best(struct ranked *best, const struct node *node,
		      uint64_t score)
{
	if (best->node && best->score >= score)
		return;
	best->node = node;
	best->score = score;
}

static uint64_t id_of(const struct ranked *ranked)
{
	return ranked->node ? ranked->node->node_id : NODE_NONE;
}

static struct ranked best_mirror(const struct node_view *view,
				 const uint64_t *scores,
				 const struct node *home)
{
	struct ranked best = {.node = NULL};

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);

		if (home_node_is_live(node) && node->zone_id != home->zone_id)
			take_best(&best, node, scores[i]);
	}
	return best;
}

static void rank_slot(struct slot_homes *homes, const struct node_view *view,
		      uint64_t *scores, uint16_t slot)
{
	struct ranked home = {.node = NULL};
	struct ranked next = {.node = NULL};
	struct ranked mirror = {.node = NULL};

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);

		scores[i] = node_rank_score(node->node_id, slot);
		if (home_node_is_live(node))
			take_best(&home, node, scores[i]);
		if (home_node_is_live(node) || node->state == NODE_JOINING)
			take_best(&next, node, scores[i]);
	}
	/* Where no node serves yet, those that join look after the flows. */
	if (!home.node)
		home = next;
	if (home.node)
		mirror = best_mirror(view, scores, home.node);
	homes->home = id_of(&home);
	homes->next_home = id_of(&next);
	homes->mirror = id_of(&mirror);
}

/* Ranks the nodes of a view for every slot; freed with home_map_free. */
struct home_map *home_map_new(const struct node_view *view)
{
	struct home_map *map = g_new0(struct home_map, 1);
	uint64_t *scores = g_new0(uint64_t, node_view_count(view) + 1);

	for (uint32_t slot = 0; slot < HOME_SLOT_COUNT; slot++)
		rank_slot(&map->slots[slot], view, scores, (uint16_t)slot);
	g_free(scores);
	return map;
}

/* Frees the map; NULL is allowed. */
void home_map_free(struct home_map *map)
{
	g_free(map);
}

/* Returns the homes of a slot below HOME_SLOT_COUNT. */
const struct slot_homes *home_map_at(const struct home_map *map, uint16_t slot)
{
	return &map->slots[slot];
}

/* Returns the node of a list that ranks first for a slot, or NODE_NONE. */
uint64_t home_map_first_of(const uint64_t *node_ids, uint32_t node_count,
			   uint16_t slot)
{
	uint64_t best = NODE_NONE;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < node_count; i++) {
		uint64_t score = node_rank_score(node_ids[i], slot);

		if (best != NODE_NONE && best_score >= score)
			continue;
		best = node_ids[i];
		best_score = score;
	}
	return best;
}
