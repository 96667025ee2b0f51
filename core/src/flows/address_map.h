#ifndef CORE_ADDRESS_MAP_H
#define CORE_ADDRESS_MAP_H

#include <core/rule_set.h>

/* Maps service addresses to rules; rebuilt for each new rule set. */
struct address_map;

struct address_map *address_map_new(const struct rule_set *rules);
void address_map_free(struct address_map *map);
const struct rule *address_map_find(const struct address_map *map,
				    const struct endpoint *address);

#endif
