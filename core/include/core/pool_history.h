#ifndef CORE_POOL_HISTORY_H
#define CORE_POOL_HISTORY_H

#include <core/target_table.h>

#define POOL_HISTORY_MAX 6

/* A member of a pool: its index in the target table and its weight. */
struct pool_member {
	uint64_t target_id;
	uint32_t weight;
	uint16_t target_index;
};

/*
 * The targets of a service in one generation of its rule, which is the revision
 * of the rules at which the rule last changed.
 */
struct pool {
	uint64_t generation;
	/* When a later pool replaced it on this node; 0 while it is current. */
	int64_t superseded_ms;
	uint64_t weight_sum;
	uint32_t member_count;
	struct pool_member *members;
};

/*
 * The current pool of one service and the earlier ones that other nodes or
 * existing flows may still use, newest first. flow_count is the number of the
 * service's flows that have this node as their home.
 */
struct pool_history {
	uint32_t service_id;
	uint32_t flow_count;
	/* When this node last saw the rule change; 0 if not since its start. */
	int64_t changed_ms;
	uint32_t pool_count;
	struct pool pools[POOL_HISTORY_MAX];
};

struct pool_history *pool_history_new(uint32_t service_id);
void pool_history_free(struct pool_history *history,
		       struct target_table *table);
bool pool_history_add(struct pool_history *history, struct target_table *table,
		      uint64_t generation, const struct target *targets,
		      uint32_t target_count, int64_t now_ms);
void pool_history_expire(struct pool_history *history,
			 struct target_table *table, int64_t before_ms);
const struct pool *pool_history_at(const struct pool_history *history,
				   uint64_t revision);
uint64_t pool_history_oldest_generation(const struct pool_history *history);
uint16_t pool_default_target_index(const struct pool *pool, uint64_t hash_low);

#endif
