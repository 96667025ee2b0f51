#include "relay_flow_index.h"

#include <glib.h>

#define SLOT_COUNT_MIN 1024

/*
 * The upper half of a flow's low hash and the number of its record plus one, 0
 * for an empty slot. Most lookups read one slot and one record.
 */
struct slot {
	uint32_t hash_part;
	uint32_t number_plus_one;
};

/*
 * Open addressing with linear probing and backward-shift deletion. slot_count
 * is a power of two.
 */
struct relay_flow_index {
	const struct relay_flow_pool *pool;
	struct slot *slots;
	uint32_t slot_count;
	uint32_t flow_count;
};

/*
 * Creates an empty index of records in the pool, which must outlive it. Free it
 * with relay_flow_index_free.
 */
struct relay_flow_index *
relay_flow_index_new(const struct relay_flow_pool *pool)
{
	struct relay_flow_index *index = g_new0(struct relay_flow_index, 1);

	index->pool = pool;
	index->slot_count = SLOT_COUNT_MIN;
	index->slots = g_new0(struct slot, index->slot_count);
	return index;
}

/* Frees the index; NULL is allowed. */
void relay_flow_index_free(struct relay_flow_index *index)
{
	if (!index)
		return;
	g_free(index->slots);
	g_free(index);
}

static uint32_t hash_part_of(struct hash128 flow_hash)
{
	return (uint32_t)(flow_hash.low >> 32);
}

static uint32_t home_of(const struct relay_flow_index *index,
			uint32_t hash_part)
{
	return hash_part & (index->slot_count - 1);
}

static uint32_t next_of(const struct relay_flow_index *index, uint32_t position)
{
	return (position + 1) & (index->slot_count - 1);
}

static bool is_empty(const struct relay_flow_index *index, uint32_t position)
{
	return index->slots[position].number_plus_one == 0;
}

static struct relay_flow *flow_at(const struct relay_flow_index *index,
				  uint32_t position)
{
	return relay_flow_pool_at(index->pool,
				  index->slots[position].number_plus_one - 1);
}

/* Returns the record of a flow, or NULL. */
struct relay_flow *relay_flow_index_find(const struct relay_flow_index *index,
					 struct hash128 flow_hash)
{
	uint32_t hash_part = hash_part_of(flow_hash);
	uint32_t position = home_of(index, hash_part);

	while (!is_empty(index, position)) {
		if (index->slots[position].hash_part == hash_part) {
			struct relay_flow *flow = flow_at(index, position);

			if (hash128_equal(flow->hash, flow_hash))
				return flow;
		}
		position = next_of(index, position);
	}
	return NULL;
}

static void insert(struct relay_flow_index *index, struct slot slot)
{
	uint32_t position = home_of(index, slot.hash_part);

	while (!is_empty(index, position))
		position = next_of(index, position);
	index->slots[position] = slot;
}

static void grow(struct relay_flow_index *index)
{
	struct slot *old_slots = index->slots;
	uint32_t old_slot_count = index->slot_count;

	index->slot_count = 2 * old_slot_count;
	index->slots = g_new0(struct slot, index->slot_count);
	for (uint32_t i = 0; i < old_slot_count; i++) {
		if (old_slots[i].number_plus_one != 0)
			insert(index, old_slots[i]);
	}
	g_free(old_slots);
}

/* Adds a flow, whose hash must not be in the index. */
void relay_flow_index_add(struct relay_flow_index *index,
			  const struct relay_flow *flow)
{
	/* Keeps the load factor at or below 3/4. */
	if (index->flow_count >= index->slot_count / 4 * 3)
		grow(index);
	insert(index, (struct slot){.hash_part = hash_part_of(flow->hash),
				    .number_plus_one = flow->number + 1});
	index->flow_count++;
}

/* Returns whether the slot at `from` may move to the empty one at `to`. */
static bool may_move(const struct relay_flow_index *index, uint32_t from,
		     uint32_t to)
{
	uint32_t mask = index->slot_count - 1;
	uint32_t home = home_of(index, index->slots[from].hash_part);

	return ((from - home) & mask) >= ((from - to) & mask);
}

static void remove_at(struct relay_flow_index *index, uint32_t position)
{
	uint32_t hole = position;

	for (uint32_t i = next_of(index, hole); !is_empty(index, i);
	     i = next_of(index, i)) {
		if (!may_move(index, i, hole))
			continue;
		index->slots[hole] = index->slots[i];
		hole = i;
	}
	index->slots[hole] = (struct slot){.number_plus_one = 0};
	index->flow_count--;
}

/* Removes a flow, which must be in the index. */
void relay_flow_index_remove(struct relay_flow_index *index,
			     const struct relay_flow *flow)
{
	uint32_t position = home_of(index, hash_part_of(flow->hash));

	while (index->slots[position].number_plus_one != flow->number + 1)
		position = next_of(index, position);
	remove_at(index, position);
}

/* Returns the number of flows. */
uint32_t relay_flow_index_count(const struct relay_flow_index *index)
{
	return index->flow_count;
}
