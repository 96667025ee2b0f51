#ifndef CORE_HOME_MAP_H
#define CORE_HOME_MAP_H

#include <core/flow_key.h>
#include <core/node_view.h>

#define HOME_SLOT_COUNT 16384

/* The nodes that look after the flows of one slot; NODE_NONE for none. */
struct slot_homes {
	/* Decides new flows: ranks first of the nodes that serve. */
	uint64_t home;
	/* The home once the nodes that join now have joined. */
	uint64_t next_home;
	/* Ranks next in another zone than the home. */
	uint64_t mirror;
};

/* The homes of all slots, worked out from one view of the nodes. */
struct home_map;

struct home_map *home_map_new(const struct node_view *view);
void home_map_free(struct home_map *map);
const struct slot_homes *home_map_at(const struct home_map *map, uint16_t slot);
uint64_t home_map_first_of(const uint64_t *node_ids, uint32_t node_count,
			   uint16_t slot);
uint16_t home_slot(uint64_t print_low);
bool home_node_is_live(const struct node *node);

#endif
