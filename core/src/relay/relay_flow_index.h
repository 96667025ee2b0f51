#ifndef RELAY_FLOW_INDEX_H
#define RELAY_FLOW_INDEX_H

#include "relay_flow_pool.h"

/* Finds the records of a pool by the hashes of their flows. */
struct relay_flow_index;

struct relay_flow_index *
relay_flow_index_new(const struct relay_flow_pool *pool);
void relay_flow_index_free(struct relay_flow_index *index);
struct relay_flow *relay_flow_index_find(const struct relay_flow_index *index,
					 struct hash128 flow_hash);
void relay_flow_index_add(struct relay_flow_index *index,
			  const struct relay_flow *flow);
void relay_flow_index_remove(struct relay_flow_index *index,
			     const struct relay_flow *flow);
uint32_t relay_flow_index_count(const struct relay_flow_index *index);

#endif
