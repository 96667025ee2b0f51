#ifndef RELAY_FLOW_POOL_H
#define RELAY_FLOW_POOL_H

#include <core/relay_flow.h>

/*
 * Allocates the records of flows in blocks, so that each one begins at a cache
 * line, and gives each a number, by which an index refers to it.
 */
struct relay_flow_pool;

struct relay_flow_pool *relay_flow_pool_new(void);
void relay_flow_pool_free(struct relay_flow_pool *pool);
struct relay_flow *relay_flow_pool_take(struct relay_flow_pool *pool);
void relay_flow_pool_give_back(struct relay_flow_pool *pool,
			       struct relay_flow *flow);
struct relay_flow *relay_flow_pool_at(const struct relay_flow_pool *pool,
				      uint32_t number);

#endif
