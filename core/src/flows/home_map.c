#include <core/home_map.h>

#include <glib.h>

struct home_map {
	struct slot_homes slots[HOME_SLOT_COUNT];
};

/* A node and its rendezvous hashing score for one slot. */
struct ranked_node {
	const struct node *node;
	uint64_t score;
};

/* Returns the slot of a flow from the lower half of its hash. */
uint16_t home_slot(uint64_t hash_low)
{
	return (uint16_t)(hash_low % HOME_SLOT_COUNT);
}

/* Returns whether a node in this state can be the home of flows. */
bool home_node_is_eligible(const struct node *node)
{
	return node->state == NODE_SERVING || node->state == NODE_SUSPECT;
}

static void update_best(struct ranked_node *best, const struct node *node,
			uint64_t score)
{
	if (best->node && best->score >= score)
		return;
	best->node = node;
	best->score = score;
}

static uint64_t ranked_node_id(const struct ranked_node *ranked_node)
{
	return ranked_node->node ? ranked_node->node->node_id : NODE_NONE;
}

static struct ranked_node find_mirror(const struct node_view *view,
				      const uint64_t *scores,
				      const struct node *home)
{
	struct ranked_node best = {.node = NULL};

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);

		if (home_node_is_eligible(node) &&
		    node->zone_id != home->zone_id)
			update_best(&best, node, scores[i]);
	}
	return best;
}

static void rank_slot(struct slot_homes *homes, const struct node_view *view,
		      uint64_t *scores, uint16_t slot)
{
	struct ranked_node home = {.node = NULL};
	struct ranked_node next = {.node = NULL};
	struct ranked_node mirror = {.node = NULL};

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);

		scores[i] = node_rendezvous_score(node->node_id, slot);
		if (home_node_is_eligible(node))
			update_best(&home, node, scores[i]);
		if (home_node_is_eligible(node) || node->state == NODE_JOINING)
			update_best(&next, node, scores[i]);
	}
	/* If no node serves yet, a joining node is the home. */
	if (!home.node)
		home = next;
	if (home.node)
		mirror = find_mirror(view, scores, home.node);
	homes->home = ranked_node_id(&home);
	homes->next_home = ranked_node_id(&next);
	homes->mirror = ranked_node_id(&mirror);
}

/* Ranks the nodes of a view for every slot. Free it with home_map_free. */
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

/* Returns the homes of a slot; slot must be less than HOME_SLOT_COUNT. */
const struct slot_homes *home_map_at(const struct home_map *map, uint16_t slot)
{
	return &map->slots[slot];
}

/* Returns the highest-ranked node of a list for a slot, or NODE_NONE. */
uint64_t home_map_highest_ranked(const uint64_t *node_ids, uint32_t node_count,
				 uint16_t slot)
{
	uint64_t best = NODE_NONE;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < node_count; i++) {
		uint64_t score = node_rendezvous_score(node_ids[i], slot);

		if (best != NODE_NONE && best_score >= score)
			continue;
		best = node_ids[i];
		best_score = score;
	}
	return best;
}
