#include <core/relay_choice.h>

/*
 * Another zone is 1 ms away and may be cut off, so it has to have more than
 * half of a target's slots free than the own zone to be chosen.
 */
#define OTHER_ZONE_COST_MILLI 600

/* Of more targets that are equal the first ones have a chance. */
#define EQUAL_COUNT_MAX 256

/* How much is left out; each step takes in what the one before left out. */
enum strictness {
	TAKE_HEALTHY,
	TAKE_AVOIDED,
	TAKE_EXCLUDED,
	STRICTNESS_COUNT,
};

static bool is_excluded(const struct relay_choice_options *options,
			uint32_t tag)
{
	for (uint32_t i = 0; i < options->excluded_count; i++) {
		if (options->excluded[i] == tag)
			return true;
	}
	return false;
}

static bool is_avoided(const struct relay_choice_options *options,
		       const struct relay_target *known, int64_t now_ms)
{
	return relay_health_is_avoided(&known->health, now_ms) ||
	       options->is_zone_avoided(options->context,
					known->target.zone_id);
}

static bool is_candidate(const struct relay_choice_options *options,
			 const struct relay_target *known,
			 enum strictness strictness, int64_t now_ms)
{
	if (!relay_target_is_open_to_new(known, now_ms))
		return false;
	if (strictness < TAKE_EXCLUDED && is_excluded(options, known->tag))
		return false;
	return strictness > TAKE_HEALTHY || !is_avoided(options, known, now_ms);
}

static uint32_t cost_of(const struct relay_choice_options *options,
			const struct relay_target *known, int64_t now_ms)
{
	uint32_t cost = relay_target_cost_milli(known, now_ms);

	if (known->target.zone_id != options->zone_id)
		cost += OTHER_ZONE_COST_MILLI;
	return cost;
}

/* Takes the cheapest; among equals each has the same chance. */
static struct relay_target *
pick_cheapest(const GPtrArray *targets,
	      const struct relay_choice_options *options,
	      enum strictness strictness, int64_t now_ms)
{
	struct relay_target *equals[EQUAL_COUNT_MAX];
	uint32_t best_cost = UINT32_MAX;
	uint32_t equal_count = 0;

	for (guint i = 0; i < targets->len; i++) {
		struct relay_target *known = g_ptr_array_index(targets, i);
		uint32_t cost;

		if (!is_candidate(options, known, strictness, now_ms))
			continue;
		cost = cost_of(options, known, now_ms);
		if (cost > best_cost)
			continue;
		if (cost < best_cost)
			equal_count = 0;
		best_cost = cost;
		if (equal_count < EQUAL_COUNT_MAX)
			equals[equal_count++] = known;
	}
	if (equal_count == 0)
		return NULL;
	return equals[options->random(options->context, equal_count)];
}

/*
 * Chooses a service's target for a new flow: the one with the most room,
 * those avoided or excluded only where there is no other. NULL when no target
 * takes new flows.
 */
struct relay_target *
relay_choice_pick(const GPtrArray *targets,
		  const struct relay_choice_options *options, int64_t now_ms)
{
	for (enum strictness step = TAKE_HEALTHY; step < STRICTNESS_COUNT;
	     step++) {
		struct relay_target *best =
			pick_cheapest(targets, options, step, now_ms);

		if (best)
			return best;
	}
	return NULL;
}
