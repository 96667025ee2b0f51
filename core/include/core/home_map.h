#ifndef CORE_HOME_MAP_H
#define CORE_HOME_MAP_H

#include <core/flow_key.h>
#include <core/node_view.h>

#define HOME_SLOT_COUNT 16384

/*
 * The nodes responsible for the flows of one slot, by rendezvous hashing.
 * NODE_NONE if there is no such node. Flows are divided into HOME_SLOT_COUNT
 * slots by their hash.
 */
struct slot_homes {
	/* Places new flows: the highest-ranked serving node. */
	uint64_t home;
	/* The home after the nodes that are joining have joined. */
	uint64_t next_home;
	/* The highest-ranked serving node in another zone than the home. */
	uint64_t mirror;
};

/* The homes of all slots, computed from one view of the nodes. */
struct home_map;

struct home_map *home_map_new(const struct node_view *view);
void home_map_free(struct home_map *map);
const struct slot_homes *home_map_at(const struct home_map *map, uint16_t slot);
uint64_t home_map_highest_ranked(const uint64_t *node_ids, uint32_t node_count,
				 uint16_t slot);
uint16_t home_slot(uint64_t hash_low);
bool home_node_is_eligible(const struct node *node);

#endif
