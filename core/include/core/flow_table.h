#ifndef CORE_FLOW_TABLE_H
#define CORE_FLOW_TABLE_H

#include <core/flow_record.h>

/* A fixed-capacity hash table of flow records. */
struct flow_table;

/* What a sweep does after visiting a record. */
enum sweep_action {
	SWEEP_KEEP,
	SWEEP_REMOVE,
	/* End this sweep; the next one starts with this record. */
	SWEEP_STOP,
};

struct flow_table *flow_table_new(uint32_t capacity);
void flow_table_free(struct flow_table *table);
void flow_table_clear(struct flow_table *table);
uint32_t flow_table_count(const struct flow_table *table);
uint32_t flow_table_embryonic_count(const struct flow_table *table);
uint32_t flow_table_bucket_count(const struct flow_table *table);
uint64_t flow_table_size_bytes(const struct flow_table *table);
bool flow_table_has_embryonic_room(const struct flow_table *table);
void flow_table_prefetch(const struct flow_table *table, uint64_t hash_low);
struct flow_record *flow_table_find(struct flow_table *table,
				    uint64_t hash_low);
struct flow_record *flow_table_insert(struct flow_table *table,
				      uint64_t hash_low, enum flow_state state,
				      int64_t now_ms);
void flow_table_touch(struct flow_table *table, struct flow_record *record,
		      enum flow_state state, int64_t now_ms);
bool flow_table_is_idle(const struct flow_record *record, int64_t now_ms);
uint32_t flow_table_sweep(
	struct flow_table *table, uint32_t bucket_count, void *context,
	enum sweep_action (*visit)(void *context, struct flow_record *record));
uint32_t flow_state_timeout_ms(enum flow_state state);

#endif
