#ifndef CORE_TARGET_TABLE_H
#define CORE_TARGET_TABLE_H

#include <core/rule_set.h>

#define TARGET_INDEX_NONE UINT16_MAX

/* A target that flows or pools refer to, and this node's state for it. */
struct target_record {
	struct target target;
	/* Number of its flows that have this node as their home. */
	uint32_t flow_count;
	/* Number of flow records and pools that refer to it by index. */
	uint32_t ref_count;
	/* Member of the current pool of its service. */
	bool is_in_current_pool;
	/* Another service has listed the endpoint at the same time. */
	bool is_endpoint_shared;
	/* The endpoint now belongs to another target and must not be used. */
	bool is_endpoint_reused;
};

/* The targets that a node knows, indexed by position and by id. */
struct target_table;

struct target_table *target_table_new(void);
void target_table_free(struct target_table *table);
uint16_t target_table_add(struct target_table *table,
			  const struct target *target);
uint16_t target_table_find(const struct target_table *table,
			   uint64_t target_id);
struct target_record *target_table_at(struct target_table *table,
				      uint16_t index);
uint32_t target_table_count(const struct target_table *table);
void target_table_set_rules(struct target_table *table,
			    const struct rule_set *rules);

#endif
