#ifndef CORE_RELAY_POOL_H
#define CORE_RELAY_POOL_H

#include <core/relay_target.h>
#include <glib.h>

/*
 * The targets of one service in one zone, in an order of this node's own, and
 * the place in that order where the next choice begins. open_count and
 * slot_count are sums over the targets that accept new flows, and
 * mean_load_milli the mean of their load_milli. work_time is the sum over all
 * targets. These figures are renewed at intervals: refreshed_ms is when, and
 * is_changed tells that targets were added or removed since.
 */
struct relay_pool {
	uint32_t zone_id;
	GPtrArray *targets;
	uint32_t next_index;
	uint32_t mean_load_milli;
	uint64_t open_count;
	uint64_t slot_count;
	struct relay_work_time work_time;
	int64_t refreshed_ms;
	bool is_changed;
};

struct relay_pool *relay_pool_new(uint32_t zone_id);
void relay_pool_free(struct relay_pool *pool);
void relay_pool_add(struct relay_pool *pool, struct relay_target *entry,
		    uint64_t seed);
void relay_pool_remove(struct relay_pool *pool, struct relay_target *entry);
void relay_pool_refresh(struct relay_pool *pool, int64_t now_ms);
uint32_t relay_pool_cost_milli(const struct relay_pool *pool);

#endif
