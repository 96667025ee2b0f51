#include "relay_service_index.h"

static void free_pool(gpointer pool)
{
	relay_pool_free(pool);
}

/* Creates an empty index. Free it with relay_service_index_free. */
struct relay_service_index *relay_service_index_new(void)
{
	struct relay_service_index *index =
		g_new0(struct relay_service_index, 1);

	index->targets = g_ptr_array_new();
	index->pools = g_ptr_array_new_with_free_func(free_pool);
	return index;
}

/* Frees the index, but not its targets. */
void relay_service_index_free(struct relay_service_index *index)
{
	g_ptr_array_free(index->targets, TRUE);
	g_ptr_array_free(index->pools, TRUE);
	g_free(index);
}

static struct relay_pool *zone_pool(struct relay_service_index *index,
				    uint32_t zone_id)
{
	struct relay_pool *pool;

	for (guint i = 0; i < index->pools->len; i++) {
		pool = g_ptr_array_index(index->pools, i);
		if (pool->zone_id == zone_id)
			return pool;
	}
	pool = relay_pool_new(zone_id);
	g_ptr_array_add(index->pools, pool);
	return pool;
}

/* Adds a target to the pool of its zone; see relay_pool_add. */
void relay_service_index_add_to_pool(struct relay_service_index *index,
				     struct relay_target *entry, uint64_t seed)
{
	relay_pool_add(zone_pool(index, entry->target.zone_id), entry, seed);
}

/* Removes a target from the pool of its zone, and the pool if it is empty. */
void relay_service_index_remove_from_pool(struct relay_service_index *index,
					  struct relay_target *entry)
{
	struct relay_pool *pool = zone_pool(index, entry->target.zone_id);

	relay_pool_remove(pool, entry);
	if (pool->targets->len == 0)
		g_ptr_array_remove_fast(index->pools, pool);
}
