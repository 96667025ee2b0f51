#ifndef CORE_RELAY_FLOW_TABLE_H
#define CORE_RELAY_FLOW_TABLE_H

#include <core/relay_flow.h>

/*
 * The records of the flows that this node forwards, up to a fixed capacity, by
 * flow hash and in order of use. The director evicts a flow when the table is
 * full and a caller opens another one.
 */
struct relay_flow_table;

struct relay_flow_table *relay_flow_table_new(uint32_t capacity);
void relay_flow_table_free(struct relay_flow_table *table);
struct relay_flow *relay_flow_table_find(struct relay_flow_table *table,
					 struct hash128 flow_hash);
bool relay_flow_table_is_full(const struct relay_flow_table *table);
struct relay_flow *relay_flow_table_add(struct relay_flow_table *table,
					struct hash128 flow_hash,
					int64_t now_ms);
void relay_flow_table_remove(struct relay_flow_table *table,
			     struct relay_flow *flow);
void relay_flow_table_touch(struct relay_flow_table *table,
			    struct relay_flow *flow, int64_t now_ms);
void relay_flow_table_mark_sent(struct relay_flow_table *table,
				struct relay_flow *flow, int64_t now_ms);
void relay_flow_table_set_opening(struct relay_flow *flow, const uint8_t *bytes,
				  uint32_t length_bytes);
void relay_flow_table_set_state(struct relay_flow_table *table,
				struct relay_flow *flow,
				enum relay_flow_state state);
void relay_flow_table_set_counted(struct relay_flow_table *table,
				  struct relay_flow *flow, bool is_counted);
struct relay_flow *
relay_flow_table_eviction_candidate(struct relay_flow_table *table);
struct relay_flow *relay_flow_table_lru_closed(struct relay_flow_table *table);
struct relay_flow *relay_flow_table_lru_counted(struct relay_flow_table *table);
struct relay_flow *
relay_flow_table_lru_uncounted(struct relay_flow_table *table);
struct relay_flow *
relay_flow_table_oldest_opening(struct relay_flow_table *table);
uint32_t relay_flow_table_count(const struct relay_flow_table *table);

#endif
