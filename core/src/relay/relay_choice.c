#include <core/relay_choice.h>

/* With more targets of the same lowest cost, one of the first 256 is chosen. */
#define TIE_COUNT_MAX 256

/* Which targets are allowed; each level includes the previous one. */
enum fallback_level {
	ALLOW_HEALTHY,
	ALLOW_AVOIDED,
	ALLOW_EXCLUDED,
	FALLBACK_LEVEL_COUNT,
};

static bool is_excluded(const struct relay_choice_options *options,
			uint32_t tag)
{
	for (uint32_t i = 0; i < options->excluded_tag_count; i++) {
		if (options->excluded_tags[i] == tag)
			return true;
	}
	return false;
}

static bool is_avoided(const struct relay_choice_options *options,
		       const struct relay_target *candidate, int64_t now_ms)
{
	return relay_health_is_avoided(&candidate->health, now_ms) ||
	       options->is_zone_avoided(options->context,
					candidate->target.zone_id);
}

static bool is_candidate(const struct relay_choice_options *options,
			 const struct relay_target *candidate,
			 enum fallback_level fallback_level, int64_t now_ms)
{
	if (!relay_target_accepts_new_flows(candidate, now_ms) ||
	    options->is_barred(options->context, candidate))
		return false;
	if (fallback_level < ALLOW_EXCLUDED &&
	    is_excluded(options, candidate->tag))
		return false;
	return fallback_level > ALLOW_HEALTHY ||
	       !is_avoided(options, candidate, now_ms);
}

/*
 * Returns what targets are compared by: relay_target_cost_milli with the time
 * that requests take, and the cost of another zone than zone_id, this node's.
 */
uint32_t relay_choice_cost_milli(const struct relay_target *candidate,
				 uint32_t zone_id, int64_t now_ms)
{
	uint32_t cost = relay_target_paced_milli(
		candidate, relay_target_cost_milli(candidate, now_ms));

	if (candidate->target.zone_id != zone_id)
		cost += RELAY_OTHER_ZONE_COST_MILLI;
	return cost;
}

/* Picks the target with the lowest cost, at random among equal ones. */
static struct relay_target *
pick_cheapest(const GPtrArray *targets,
	      const struct relay_choice_options *options,
	      enum fallback_level fallback_level, int64_t now_ms)
{
	struct relay_target *ties[TIE_COUNT_MAX];
	uint32_t best_cost = UINT32_MAX;
	uint32_t tie_count = 0;

	for (guint i = 0; i < targets->len; i++) {
		struct relay_target *candidate = g_ptr_array_index(targets, i);
		uint32_t cost;

		if (!is_candidate(options, candidate, fallback_level, now_ms))
			continue;
		cost = relay_choice_cost_milli(candidate, options->zone_id,
					       now_ms);
		if (cost > best_cost)
			continue;
		if (cost < best_cost)
			tie_count = 0;
		best_cost = cost;
		if (tie_count < TIE_COUNT_MAX)
			ties[tie_count++] = candidate;
	}
	if (tie_count == 0)
		return NULL;
	return ties[options->random(options->context, tie_count)];
}

/*
 * Chooses a target of a service for a new flow: the least loaded one. Avoided
 * targets are used only if there is no healthy one, excluded targets only if
 * there is no other at all. Returns NULL if no target accepts new flows.
 */
struct relay_target *
relay_choice_pick(const GPtrArray *targets,
		  const struct relay_choice_options *options, int64_t now_ms)
{
	for (enum fallback_level level = ALLOW_HEALTHY;
	     level < FALLBACK_LEVEL_COUNT; level++) {
		struct relay_target *best =
			pick_cheapest(targets, options, level, now_ms);

		if (best)
			return best;
	}
	return NULL;
}
