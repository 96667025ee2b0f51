#include <core/flow_table.h>

#include <glib.h>
#include <string.h>

/* Milliseconds per decisecond. */
#define MS_PER_DS 100
/* Embryonic flows use at most capacity / EMBRYONIC_CAPACITY_DIVISOR records. */
#define EMBRYONIC_CAPACITY_DIVISOR 4

static const uint32_t timeouts_ms[FLOW_STATE_COUNT] = {
	[FLOW_EMBRYONIC] = 10 * 1000,
	[FLOW_ESTABLISHED] = 15 * 60 * 1000,
	[FLOW_CLOSING] = 20 * 1000,
	[FLOW_DATAGRAM] = 3 * 60 * 1000,
};

/* Open addressing with linear probing and backward-shift deletion. */
struct flow_table {
	struct flow_record *buckets;
	uint32_t bucket_count;
	uint32_t capacity;
	uint32_t count;
	uint32_t embryonic_count;
	uint32_t sweep_index;
};

/* Returns the idle timeout of a flow state. */
uint32_t flow_state_timeout_ms(enum flow_state state)
{
	return timeouts_ms[state];
}

/* Keeps the load factor at or below 3/4. */
static uint32_t bucket_count_for(uint32_t capacity)
{
	uint32_t count = 16;

	while (count < capacity + capacity / 3)
		count *= 2;
	return count;
}

/*
 * Creates an empty table for at most capacity flows and allocates all of its
 * memory. Free it with flow_table_free.
 */
struct flow_table *flow_table_new(uint32_t capacity)
{
	struct flow_table *table = g_new0(struct flow_table, 1);

	table->capacity = capacity;
	table->bucket_count = bucket_count_for(capacity);
	table->buckets = g_new0(struct flow_record, table->bucket_count);
	return table;
}

/* Frees the table; NULL is allowed. */
void flow_table_free(struct flow_table *table)
{
	if (!table)
		return;
	g_free(table->buckets);
	g_free(table);
}

/* Removes all flows. */
void flow_table_clear(struct flow_table *table)
{
	memset(table->buckets, 0,
	       (size_t)table->bucket_count * sizeof(*table->buckets));
	table->count = 0;
	table->embryonic_count = 0;
}

/* Returns the number of flows. */
uint32_t flow_table_count(const struct flow_table *table)
{
	return table->count;
}

/* Returns the number of flows of which only the first packet was seen. */
uint32_t flow_table_embryonic_count(const struct flow_table *table)
{
	return table->embryonic_count;
}

/* Returns the number of buckets, all of which a full sweep visits. */
uint32_t flow_table_bucket_count(const struct flow_table *table)
{
	return table->bucket_count;
}

/* Returns the memory used by the table. */
uint64_t flow_table_size_bytes(const struct flow_table *table)
{
	return sizeof(*table) +
	       (uint64_t)table->bucket_count * sizeof(*table->buckets);
}

/*
 * Returns whether there is room for another embryonic flow. Embryonic flows may
 * use only part of the table, so that a flood of first packets (a SYN flood)
 * leaves the rest to established flows.
 */
bool flow_table_has_embryonic_room(const struct flow_table *table)
{
	return table->count < table->capacity &&
	       table->embryonic_count <
		       table->capacity / EMBRYONIC_CAPACITY_DIVISOR;
}

static uint32_t bucket_of(const struct flow_table *table, uint64_t hash_low)
{
	return (uint32_t)(hash_low >> 32) & (table->bucket_count - 1);
}

static uint32_t next_bucket(const struct flow_table *table, uint32_t index)
{
	return (index + 1) & (table->bucket_count - 1);
}

/* Prefetches the bucket of a flow that will be looked up soon. */
void flow_table_prefetch(const struct flow_table *table, uint64_t hash_low)
{
	__builtin_prefetch(&table->buckets[bucket_of(table, hash_low)]);
}

/* Returns the record of a flow, or NULL. */
struct flow_record *flow_table_find(struct flow_table *table, uint64_t hash_low)
{
	uint32_t index = bucket_of(table, hash_low);

	while (table->buckets[index].is_used) {
		if (table->buckets[index].hash_low == hash_low)
			return &table->buckets[index];
		index = next_bucket(table, index);
	}
	return NULL;
}

/*
 * Inserts a record for a flow. Returns NULL if the table is full or the flow
 * already has a record. The pointer is valid until the next sweep.
 */
struct flow_record *flow_table_insert(struct flow_table *table,
				      uint64_t hash_low, enum flow_state state,
				      int64_t now_ms)
{
	uint32_t index = bucket_of(table, hash_low);
	struct flow_record *record;

	if (table->count >= table->capacity)
		return NULL;
	while (table->buckets[index].is_used) {
		if (table->buckets[index].hash_low == hash_low)
			return NULL;
		index = next_bucket(table, index);
	}
	record = &table->buckets[index];
	*record = (struct flow_record){
		.hash_low = hash_low,
		.last_seen_ds = (uint32_t)(now_ms / MS_PER_DS),
		.state = state,
		.is_used = true,
	};
	table->count++;
	table->embryonic_count += state == FLOW_EMBRYONIC;
	return record;
}

/* Updates the state of a flow and the time of its last packet. */
void flow_table_touch(struct flow_table *table, struct flow_record *record,
		      enum flow_state state, int64_t now_ms)
{
	if (record->state == FLOW_EMBRYONIC && state != FLOW_EMBRYONIC)
		table->embryonic_count--;
	if (record->state != FLOW_EMBRYONIC && state == FLOW_EMBRYONIC)
		table->embryonic_count++;
	record->state = state;
	record->last_seen_ds = (uint32_t)(now_ms / MS_PER_DS);
}

/* Returns whether a flow has exceeded the idle timeout of its state. */
bool flow_table_is_idle(const struct flow_record *record, int64_t now_ms)
{
	uint32_t idle_ds =
		(uint32_t)(now_ms / MS_PER_DS) - record->last_seen_ds;

	return idle_ds > timeouts_ms[record->state] / MS_PER_DS;
}

static void remove_at(struct flow_table *table, uint32_t hole)
{
	uint32_t mask = table->bucket_count - 1;
	uint32_t index = next_bucket(table, hole);

	table->count--;
	table->embryonic_count -= table->buckets[hole].state == FLOW_EMBRYONIC;
	while (table->buckets[index].is_used) {
		uint32_t ideal_index =
			bucket_of(table, table->buckets[index].hash_low);

		/*
		 * Move a record back unless that would put it before its own
		 * bucket.
		 */
		if (((index - ideal_index) & mask) >= ((index - hole) & mask)) {
			table->buckets[hole] = table->buckets[index];
			hole = index;
		}
		index = next_bucket(table, index);
	}
	table->buckets[hole].is_used = false;
}

/*
 * Calls visit for the records in the next bucket_count buckets, continuing
 * where the last sweep ended, and removes those for which it returns
 * SWEEP_REMOVE. Returns the number of buckets visited, which is lower if visit
 * returned SWEEP_STOP.
 */
uint32_t flow_table_sweep(
	struct flow_table *table, uint32_t bucket_count, void *context,
	enum sweep_action (*visit)(void *context, struct flow_record *record))
{
	uint32_t visited_count = 0;

	while (visited_count < bucket_count) {
		struct flow_record *record =
			&table->buckets[table->sweep_index];
		enum sweep_action action =
			record->is_used ? visit(context, record) : SWEEP_KEEP;

		if (action == SWEEP_STOP)
			return visited_count;
		if (action == SWEEP_REMOVE) {
			remove_at(table, table->sweep_index);
			continue;
		}
		table->sweep_index = next_bucket(table, table->sweep_index);
		visited_count++;
	}
	return visited_count;
}
