#include <core/relay_spread.h>

#define MILLI_PER_UNIT 1000

#define LOADED_MILLI 1500
#define SLOW_MILLI 1500

struct measure {
	struct relay_directory *directory;
	struct relay_spread spread;
	struct relay_work_time work_time;
	uint32_t zone_id;
	int64_t now_ms;
};

static const struct relay_pool *find_pool(struct measure *measure,
					  uint32_t service_id)
{
	const GPtrArray *pools =
		relay_directory_service_pools(measure->directory, service_id);

	for (guint i = 0; i < pools->len; i++) {
		struct relay_pool *pool = g_ptr_array_index(pools, i);

		if (pool->zone_id != measure->zone_id)
			continue;
		relay_pool_refresh(pool, measure->now_ms);
		return pool;
	}
	return NULL;
}

static bool is_loaded(const struct relay_target *entry,
		      const struct relay_pool *pool)
{
	return pool->mean_load_milli != 0 &&
	       (uint64_t)entry->load_milli * MILLI_PER_UNIT >=
		       (uint64_t)pool->mean_load_milli * LOADED_MILLI;
}

static void add_target(void *context, struct relay_target *entry)
{
	struct measure *measure = context;
	uint64_t open_count =
		(uint64_t)entry->own_open_count + entry->peer_open_count;
	const struct relay_pool *pool;
	uint64_t ratio_milli;

	if (entry->target.zone_id != measure->zone_id ||
	    !relay_target_accepts_new_flows(entry, measure->now_ms))
		return;
	pool = find_pool(measure, entry->target.service_id);
	if (!pool)
		return;
	measure->spread.loaded_count += is_loaded(entry, pool);
	measure->spread.slow_count += entry->pace_milli >= SLOW_MILLI;
	relay_work_time_merge(&measure->work_time, &entry->work_time);
	if (pool->open_count == 0)
		return;
	ratio_milli = open_count * pool->slot_count * MILLI_PER_UNIT /
		      (pool->open_count * MAX(entry->target.slot_count, 1));
	measure->spread.busiest_milli = (uint32_t)MAX(
		measure->spread.busiest_milli, MIN(ratio_milli, UINT32_MAX));
}

/* Measures the spread over the targets of a zone that accept new flows. */
struct relay_spread relay_spread_measure(struct relay_directory *directory,
					 uint32_t zone_id, int64_t now_ms)
{
	struct measure measure = {
		.directory = directory,
		.zone_id = zone_id,
		.now_ms = now_ms,
	};

	relay_directory_for_each(directory, &measure, add_target);
	measure.spread.work_us = relay_work_time_mean_us(&measure.work_time);
	return measure.spread;
}
