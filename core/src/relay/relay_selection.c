#include "relay_selection.h"

#include "relay_cold_targets.h"

#include <core/relay_choice.h>
#include <core/relay_walk.h>

/*
 * Up to this number of nodes in a zone, their load reports are some tens of
 * milliseconds old, and the target with the least known load is chosen. Reports
 * of more nodes are older than most flows last: nodes that go by the same
 * report then choose the same targets at once.
 */
#define NODE_COUNT_OF_FRESH_REPORTS_MAX 4

static bool is_zone_avoided(void *context, uint32_t zone_id)
{
	const struct relay_director *director = context;

	return relay_zone_health_is_avoided(director->zone_health, zone_id,
					    director->now_ms);
}

/* Returns whether a target is in a zone that is being evacuated. */
bool relay_selection_is_evacuated(const struct relay_director *director,
				  const struct relay_target *target)
{
	return relay_evacuations_contains(director->evacuations,
					  target->target.zone_id);
}

/* Returns whether a target must not get new flows, whatever its load. */
static bool is_barred(void *context, const struct relay_target *candidate)
{
	struct relay_director *director = context;

	if (relay_selection_is_evacuated(director, candidate))
		return true;
	if (!director->has_rate ||
	    relay_cold_targets_may_send(director, candidate, director->now_ms))
		return false;
	director->is_rate_met = true;
	return true;
}

static uint32_t random_below(void *context, uint32_t bound)
{
	struct relay_director *director = context;

	return bound <= 1 ? 0
			  : (uint32_t)g_rand_int_range(director->random, 0,
						       (gint32)bound);
}

/* Picks one of a route's services at random, in proportion to the weights. */
uint32_t relay_selection_pick_service(struct relay_director *director,
				      const struct relay_route *route)
{
	uint32_t total = 0;
	uint32_t drawn;

	for (uint32_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	drawn = random_below(director, total);
	for (uint32_t i = 0; i < route->share_count; i++) {
		if (drawn < route->shares[i].weight)
			return route->shares[i].service_id;
		drawn -= route->shares[i].weight;
	}
	return route->shares[0].service_id;
}

/* Renews how long targets take for a request; a choice by turns does so too. */
static void refresh_pools(const GPtrArray *pools, int64_t now_ms)
{
	for (guint i = 0; i < pools->len; i++)
		relay_pool_refresh(g_ptr_array_index(pools, i), now_ms);
}

/*
 * Chooses a target for a new flow by its service and the targets that were
 * tried already. Returns NULL if there is none.
 */
struct relay_target *relay_selection_choose(struct relay_director *director,
					    const struct relay_flow *flow,
					    int64_t now_ms)
{
	struct relay_choice_options options = {
		.zone_id = director->options.zone_id,
		.excluded_tags = flow->tried_tags,
		.excluded_tag_count = flow->try_count,
		.context = director,
		.is_zone_avoided = is_zone_avoided,
		.is_barred = is_barred,
		.random = random_below,
	};
	const GPtrArray *pools = relay_directory_service_pools(
		director->directory, flow->service_id);
	struct relay_target *entry = NULL;

	director->now_ms = now_ms;
	director->is_rate_met = false;
	director->has_rate =
		relay_cold_targets_has_rate(director, flow->service_id);
	if (director->node_count > NODE_COUNT_OF_FRESH_REPORTS_MAX)
		entry = relay_walk_pick(pools, &options, now_ms);
	else
		refresh_pools(pools, now_ms);
	director->is_in_turn = entry != NULL;
	if (entry)
		return entry;
	return relay_choice_pick(relay_directory_service_targets(
					 director->directory, flow->service_id),
				 &options, now_ms);
}

/* Returns why no target of a service could be chosen for a new flow. */
enum reason relay_selection_refusal(struct relay_director *director,
				    uint32_t service_id, int64_t now_ms)
{
	const GPtrArray *targets = relay_directory_service_targets(
		director->directory, service_id);

	for (guint i = 0; i < targets->len; i++) {
		const struct relay_target *target =
			g_ptr_array_index(targets, i);

		if (relay_target_accepts_new_flows(target, now_ms) &&
		    relay_selection_is_evacuated(director, target))
			return REASON_EVACUATED;
	}
	return REASON_NO_TARGET;
}
