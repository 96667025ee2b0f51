#include <core/flow_table.h>

#include <glib.h>
#include <string.h>

#define MS_PER_DS 100
#define EMBRYONIC_SHARE 4

static const uint32_t timeouts_ms[FLOW_STATE_COUNT] = {
	[FLOW_EMBRYONIC] = 10 * 1000,
	[FLOW_ESTABLISHED] = 15 * 60 * 1000,
	[FLOW_CLOSING] = 20 * 1000,
	[FLOW_DATAGRAM] = 3 * 60 * 1000,
};

/* Open addressing with linear probing; removal shifts followers back. */
struct flow_table {
	struct flow_record *buckets;
	uint32_t bucket_count;
	uint32_t capacity;
	uint32_t count;
	uint32_t embryonic_count;
	uint32_t hand;
};

/* Returns how long a flow of a state may be idle before it is forgotten. */
uint32_t flow_state_timeout_ms(enum flow_state state)
{
	return timeouts_ms[state];
}

static uint32_t round_up(uint32_t capacity)
{
	uint32_t count = 16;

	while (count < capacity + capacity / 3)
		count *= 2;
	return count;
}

/*
 * Makes an empty table for at most capacity flows; all its memory is taken
 * here. The caller frees it with flow_table_free.
 */
struct flow_table *flow_table_new(uint32_t capacity)
{
	struct flow_table *table = g_new0(struct flow_table, 1);

	table->capacity = capacity;
	table->bucket_count = round_up(capacity);
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

/* Forgets every flow. */
void flow_table_clear(struct flow_table *table)
{
	memset(table->buckets, 0,
	       (size_t)table->bucket_count * sizeof(*table->buckets));
	table->count = 0;
	table->embryonic_count = 0;
}

/* Returns the number of flows held. */
uint32_t flow_table_count(const struct flow_table *table)
{
	return table->count;
}

/* Returns how many of them have shown a first packet only. */
uint32_t flow_table_embryonic_count(const struct flow_table *table)
{
	return table->embryonic_count;
}

/* Returns the number of buckets, which a whole sweep visits. */
uint32_t flow_table_bucket_count(const struct flow_table *table)
{
	return table->bucket_count;
}

/* Returns the memory that the table takes. */
uint64_t flow_table_size_bytes(const struct flow_table *table)
{
	return sizeof(*table) +
	       (uint64_t)table->bucket_count * sizeof(*table->buckets);
}

/*
 * Tells whether another flow may be opened by a first packet. Such records
 * have a share of the table only, so that a flood of first packets leaves the
 * rest to flows that are known to live.
 */
bool flow_table_may_open(const struct flow_table *table)
{
	return table->count < table->capacity &&
	       table->embryonic_count < table->capacity / EMBRYONIC_SHARE;
}

static uint32_t bucket_of(const struct flow_table *table, uint64_t print_low)
{
	return (uint32_t)(print_low >> 32) & (table->bucket_count - 1);
}

static uint32_t next_bucket(const struct flow_table *table, uint32_t index)
{
	return (index + 1) & (table->bucket_count - 1);
}

/* Starts to fetch the bucket of a flow that will be looked for soon. */
void flow_table_prefetch(const struct flow_table *table, uint64_t print_low)
{
	__builtin_prefetch(&table->buckets[bucket_of(table, print_low)]);
}

/* Finds the record of a flow, or NULL. */
struct flow_record *flow_table_find(struct flow_table *table,
				    uint64_t print_low)
{
	uint32_t index = bucket_of(table, print_low);

	while (table->buckets[index].is_used) {
		if (table->buckets[index].print_low == print_low)
			return &table->buckets[index];
		index = next_bucket(table, index);
	}
	return NULL;
}

/*
 * Adds a record for a flow that has none, or returns NULL when the table is
 * full or the flow has one. The record stays valid until the next sweep.
 */
struct flow_record *flow_table_insert(struct flow_table *table,
				      uint64_t print_low, enum flow_state state,
				      int64_t now_ms)
{
	uint32_t index = bucket_of(table, print_low);
	struct flow_record *record;

	if (table->count >= table->capacity)
		return NULL;
	while (table->buckets[index].is_used) {
		if (table->buckets[index].print_low == print_low)
			return NULL;
		index = next_bucket(table, index);
	}
	record = &table->buckets[index];
	*record = (struct flow_record){
		.print_low = print_low,
		.last_seen_ds = (uint32_t)(now_ms / MS_PER_DS),
		.state = state,
		.is_used = true,
	};
	table->count++;
	table->embryonic_count += state == FLOW_EMBRYONIC;
	return record;
}

/* Notes that a packet of the flow was seen and which state it is in now. */
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

/* Tells whether a flow has been idle for longer than its state allows. */
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
		uint32_t wanted =
			bucket_of(table, table->buckets[index].print_low);

		/* A record moves back as long as its own bucket lets it. */
		if (((index - wanted) & mask) >= ((index - hole) & mask)) {
			table->buckets[hole] = table->buckets[index];
			hole = index;
		}
		index = next_bucket(table, index);
	}
	table->buckets[hole].is_used = false;
}

/*
 * Visits the records of the next bucket_count buckets, as the hand of a clock
 * does, and removes those that visit says. Returns how many buckets were
 * passed, which is fewer when visit stopped it.
 */
uint32_t flow_table_sweep(struct flow_table *table, uint32_t bucket_count,
			  void *context,
			  enum sweep_step (*visit)(void *context,
						   struct flow_record *record))
{
	uint32_t passed = 0;

	while (passed < bucket_count) {
		struct flow_record *record = &table->buckets[table->hand];
		enum sweep_step step =
			record->is_used ? visit(context, record) : SWEEP_KEEP;

		if (step == SWEEP_STOP)
			return passed;
		if (step == SWEEP_REMOVE) {
			remove_at(table, table->hand);
			continue;
		}
		table->hand = next_bucket(table, table->hand);
		passed++;
	}
	return passed;
}
