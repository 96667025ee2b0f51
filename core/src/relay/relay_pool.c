#include <core/relay_pool.h>

#define MILLI_PER_UNIT 1000

/* Interval between renewals of a pool's figures. */
#define REFRESH_INTERVAL_MS 200

/* The time over which the load of a target is averaged. */
#define LOAD_AVERAGE_MS 4000

/* Creates an empty pool. Free it with relay_pool_free. */
struct relay_pool *relay_pool_new(uint32_t zone_id)
{
	struct relay_pool *pool = g_new0(struct relay_pool, 1);

	pool->zone_id = zone_id;
	pool->targets = g_ptr_array_new();
	pool->is_changed = true;
	return pool;
}

/* Frees the pool, but not its targets; NULL is allowed. */
void relay_pool_free(struct relay_pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_free(pool->targets, TRUE);
	g_free(pool);
}

/* The finalizer of MurmurHash3. */
static uint64_t mix(uint64_t value)
{
	value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
	value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53ULL;
	return value ^ (value >> 33);
}

/*
 * Adds a target at a place that depends on the seed, so that the order is a
 * different one on each node.
 */
void relay_pool_add(struct relay_pool *pool, struct relay_target *entry,
		    uint64_t seed)
{
	GPtrArray *targets = pool->targets;
	guint last = targets->len;
	guint place = (guint)(mix(seed ^ mix(entry->tag)) % (last + 1));

	g_ptr_array_add(targets, entry);
	targets->pdata[last] = targets->pdata[place];
	targets->pdata[place] = entry;
	pool->is_changed = true;
}

/* Removes a target, if it is in the pool. */
void relay_pool_remove(struct relay_pool *pool, struct relay_target *entry)
{
	g_ptr_array_remove_fast(pool->targets, entry);
	pool->is_changed = true;
}

/* Moves the average of a target's load towards its known load. */
static void average_load(struct relay_target *entry, int64_t elapsed_ms)
{
	int64_t weight_ms = MIN(elapsed_ms, LOAD_AVERAGE_MS);
	uint64_t open_count =
		(uint64_t)entry->own_open_count + entry->peer_open_count;
	uint64_t load_milli =
		open_count * MILLI_PER_UNIT / MAX(entry->target.slot_count, 1);
	int64_t change_milli =
		(int64_t)MIN(load_milli, INT32_MAX) - entry->load_milli;

	entry->load_milli =
		(uint32_t)(entry->load_milli +
			   change_milli * weight_ms / LOAD_AVERAGE_MS);
}

/* Renews the pace of all targets from what was seen of their requests. */
static void refresh_pace(struct relay_pool *pool, int64_t elapsed_ms)
{
	pool->work_time = (struct relay_work_time){.time_us = 0};
	for (guint i = 0; i < pool->targets->len; i++) {
		struct relay_target *entry =
			g_ptr_array_index(pool->targets, i);

		relay_work_time_age(&entry->work_time, elapsed_ms);
		relay_work_time_merge(&pool->work_time, &entry->work_time);
	}
	for (guint i = 0; i < pool->targets->len; i++) {
		struct relay_target *entry =
			g_ptr_array_index(pool->targets, i);

		entry->pace_milli = relay_work_time_pace_milli(
			&entry->work_time, &pool->work_time);
	}
}

/* Renews the pool's figures if they are older than REFRESH_INTERVAL_MS. */
void relay_pool_refresh(struct relay_pool *pool, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - pool->refreshed_ms;
	uint64_t load_sum_milli = 0;
	uint32_t count = 0;

	if (!pool->is_changed && elapsed_ms < REFRESH_INTERVAL_MS)
		return;
	pool->is_changed = false;
	pool->refreshed_ms = now_ms;
	pool->open_count = 0;
	pool->slot_count = 0;
	refresh_pace(pool, elapsed_ms);
	for (guint i = 0; i < pool->targets->len; i++) {
		struct relay_target *entry =
			g_ptr_array_index(pool->targets, i);

		if (!relay_target_accepts_new_flows(entry, now_ms))
			continue;
		average_load(entry, elapsed_ms);
		load_sum_milli += entry->load_milli;
		count++;
		pool->open_count += (uint64_t)entry->own_open_count +
				    entry->peer_open_count;
		pool->slot_count += MAX(entry->target.slot_count, 1);
	}
	pool->mean_load_milli =
		count == 0 ? 0 : (uint32_t)(load_sum_milli / count);
}

/*
 * Returns the share of the pool's slots in use as of the last refresh, in
 * thousandths, UINT32_MAX if no target accepts new flows.
 */
uint32_t relay_pool_cost_milli(const struct relay_pool *pool)
{
	uint64_t cost_milli;

	if (pool->slot_count == 0)
		return UINT32_MAX;
	cost_milli = pool->open_count * MILLI_PER_UNIT / pool->slot_count;
	return cost_milli < UINT32_MAX ? (uint32_t)cost_milli : UINT32_MAX - 1;
}
