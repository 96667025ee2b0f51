#include <core/relay_walk.h>

#define MILLI_PER_UNIT 1000

/* The number of targets that are compared for a flow. */
#define COMPARED_COUNT 4

/* Of the targets at the next places, at most these are looked at. */
#define LOOKED_AT_COUNT_MAX 64

/*
 * A target with more load than this share of the mean leaves out turns: it is
 * slow, or it holds more long flows than others. It keeps some of them, so that
 * the node learns when that has changed.
 */
#define USUAL_LOAD_MILLI 1150
#define TURN_SHARE_MIN_MILLI 250

/*
 * Beside RELAY_OTHER_ZONE_COST_MILLI, the share of slots in use of another zone
 * must be at most half of that of the own zone.
 */
#define OTHER_ZONE_FACTOR 2

static bool is_candidate(const struct relay_choice_options *options,
			 const struct relay_target *entry, int64_t now_ms)
{
	if (!relay_target_accepts_new_flows(entry, now_ms) ||
	    relay_health_is_avoided(&entry->health, now_ms) ||
	    options->is_barred(options->context, entry))
		return false;
	for (uint32_t i = 0; i < options->excluded_tag_count; i++) {
		if (options->excluded_tags[i] == entry->tag)
			return false;
	}
	return true;
}

/*
 * Returns whether a target takes its turn. Its load falls with the root of the
 * share of turns that it takes, hence the square.
 */
static bool takes_turn(const struct relay_choice_options *options,
		       const struct relay_pool *pool,
		       const struct relay_target *entry)
{
	uint64_t usual_milli =
		(uint64_t)pool->mean_load_milli * USUAL_LOAD_MILLI;
	uint64_t share_milli;

	if (entry->load_milli * (uint64_t)MILLI_PER_UNIT <= usual_milli)
		return true;
	share_milli = usual_milli / entry->load_milli;
	share_milli = share_milli * share_milli / MILLI_PER_UNIT;
	return options->random(options->context, MILLI_PER_UNIT) <
	       MAX(share_milli, TURN_SHARE_MIN_MILLI);
}

/*
 * Picks the target with the lowest relay_target_own_cost_milli among the next
 * ones in the pool's order, the first of equal ones. The next choice begins
 * after the first one that was compared. Returns NULL if there is no candidate.
 */
static struct relay_target *
pick_next(struct relay_pool *pool, const struct relay_choice_options *options,
	  int64_t now_ms)
{
	guint count = MIN(pool->targets->len, LOOKED_AT_COUNT_MAX);
	struct relay_target *best = NULL;
	struct relay_target *passed_over = NULL;
	uint32_t first_index = pool->next_index;
	uint32_t best_cost = UINT32_MAX;
	uint32_t compared_count = 0;

	for (guint i = 0; i < count && compared_count < COMPARED_COUNT; i++) {
		guint place = (first_index + i) % pool->targets->len;
		struct relay_target *entry =
			g_ptr_array_index(pool->targets, place);
		uint32_t cost;

		if (!is_candidate(options, entry, now_ms))
			continue;
		if (!takes_turn(options, pool, entry)) {
			passed_over = entry;
			continue;
		}
		if (compared_count++ == 0)
			pool->next_index = place + 1;
		cost = relay_target_own_cost_milli(entry, now_ms);
		if (cost < best_cost) {
			best_cost = cost;
			best = entry;
		}
	}
	if (compared_count == 0 && pool->targets->len > 0)
		pool->next_index = (first_index + count) % pool->targets->len;
	return best ? best : passed_over;
}

static uint32_t zone_cost(const struct relay_choice_options *options,
			  const struct relay_pool *pool)
{
	uint64_t cost = relay_pool_cost_milli(pool);

	if (pool->zone_id != options->zone_id)
		cost = cost * OTHER_ZONE_FACTOR + RELAY_OTHER_ZONE_COST_MILLI;
	return (uint32_t)MIN(cost, INT32_MAX);
}

/*
 * Returns the index of a pool of another zone that isn't in the set tried, bit
 * by index, and costs less than cost_max; the number of pools if there is none.
 * It is drawn in proportion to the slots, so that flows of a full zone don't
 * all go to the same one.
 */
static guint draw_other_pool(const GPtrArray *pools,
			     const struct relay_choice_options *options,
			     uint64_t tried, uint32_t cost_max)
{
	guint drawn = pools->len;
	uint32_t slot_sum = 0;

	for (guint i = 0; i < pools->len; i++) {
		const struct relay_pool *pool = g_ptr_array_index(pools, i);
		uint32_t slot_count = (uint32_t)MIN(pool->slot_count, 1 << 20);

		if (tried & (1ULL << i) || slot_count == 0 ||
		    pool->zone_id == options->zone_id ||
		    zone_cost(options, pool) >= cost_max)
			continue;
		slot_sum += slot_count;
		if (options->random(options->context, slot_sum) < slot_count)
			drawn = i;
	}
	return drawn;
}

/* Returns the index of the own zone's pool if it isn't in the set tried. */
static guint find_own_pool(const GPtrArray *pools,
			   const struct relay_choice_options *options,
			   uint64_t tried)
{
	for (guint i = 0; i < pools->len; i++) {
		const struct relay_pool *pool = g_ptr_array_index(pools, i);

		if (pool->zone_id == options->zone_id && pool->slot_count > 0 &&
		    !(tried & (1ULL << i)))
			return i;
	}
	return pools->len;
}

/*
 * Returns the index of the pool to look at next, the number of pools if there
 * is none. A flow leaves the own zone with a chance that grows with what the
 * zone costs more than the other one, as all nodes of the zone decide by the
 * same reports.
 */
static guint find_pool(const GPtrArray *pools,
		       const struct relay_choice_options *options,
		       uint64_t tried)
{
	guint own = find_own_pool(pools, options, tried);
	uint32_t own_cost = UINT32_MAX;
	guint other;

	if (own < pools->len)
		own_cost = zone_cost(options, g_ptr_array_index(pools, own));
	other = draw_other_pool(pools, options, tried, own_cost);
	if (own == pools->len || other == pools->len)
		return MIN(own, other);
	return options->random(options->context, own_cost) <
			       zone_cost(options,
					 g_ptr_array_index(pools, other))
		       ? own
		       : other;
}

/* Returns the pools that must not be used as their zone is avoided. */
static uint64_t find_avoided(const GPtrArray *pools,
			     const struct relay_choice_options *options,
			     int64_t now_ms)
{
	uint64_t avoided = 0;

	for (guint i = 0; i < pools->len; i++) {
		struct relay_pool *pool = g_ptr_array_index(pools, i);

		relay_pool_refresh(pool, now_ms);
		if (options->is_zone_avoided(options->context, pool->zone_id))
			avoided |= 1ULL << i;
	}
	return avoided;
}

/*
 * Chooses a target of a service for a new flow by turns: the next one in this
 * node's own order, in the own zone unless that is clearly fuller. What other
 * nodes reported is used only as averages over time or over a zone, so that
 * nodes with the same report don't choose the same target. The cost does not
 * depend on the number of targets. Returns NULL if it finds no healthy target
 * that was not tried yet, or if there are more than 64 zones; relay_choice_pick
 * then decides among all.
 */
struct relay_target *relay_walk_pick(const GPtrArray *pools,
				     const struct relay_choice_options *options,
				     int64_t now_ms)
{
	uint64_t tried;
	guint i;

	if (pools->len >= 64)
		return NULL;
	tried = find_avoided(pools, options, now_ms);
	while ((i = find_pool(pools, options, tried)) < pools->len) {
		struct relay_target *entry =
			pick_next(g_ptr_array_index(pools, i), options, now_ms);

		if (entry)
			return entry;
		tried |= 1ULL << i;
	}
	return NULL;
}
