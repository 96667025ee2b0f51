#include "flow_director_state.h"

#include <core/target_rank.h>
#include <math.h>

/*
 * A target counts as busy above its mean share times BALANCE_FACTOR plus
 * NOISE_FACTOR standard deviations.
 */
#define BALANCE_FACTOR 1.04
#define NOISE_FACTOR 2.0
/* Headroom over this home's estimated share of a connection limit. */
#define CONNECTION_SLACK_FACTOR 1.2
#define CONNECTION_SLACK_COUNT 4
/*
 * Failing targets are skipped while targets with at least this share of the
 * pool's weight are not failing.
 */
#define NON_FAILING_WEIGHT_SHARE_MIN 0.5

/* Why a target in this state gets no new flows; REASON_NONE if it does. */
static const enum reason state_reject_reasons[TARGET_STATE_COUNT] = {
	[TARGET_SERVING] = REASON_NONE,
	[TARGET_COLD] = REASON_DEFAULT_COLD,
	[TARGET_LEAVING] = REASON_DEFAULT_LEAVING,
	[TARGET_FAILING] = REASON_DEFAULT_FAILING,
	[TARGET_CUT_OFF] = REASON_DEFAULT_CUT_OFF,
	[TARGET_GONE] = REASON_STALE_TARGET,
};

/* The load bounds that apply to one selection of a target. */
struct load_bounds {
	double flows_per_weight;
	double home_share;
	/* So many targets are failing that the health checks may be wrong. */
	bool are_failures_ignored;
};

/*
 * A target considered for a flow. The lowest grade wins, and among equal grades
 * the lowest cost.
 */
struct candidate {
	uint16_t target_index;
	uint64_t cost;
	uint32_t grade;
};

enum {
	GRADE_AVAILABLE,
	GRADE_BUSY,
	GRADE_COLD,
	GRADE_EXCLUDED,
};

/* Computes the bounds from the serving targets of the pool. */
static struct load_bounds compute_bounds(struct flow_director *director,
					 const struct pool *pool)
{
	struct load_bounds bounds = {.flows_per_weight = 0};
	uint64_t failing_weight = 0;
	uint64_t serving_weight = 0;
	uint64_t flow_count = 0;

	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		const struct target_record *known_target = target_table_at(
			director->known_targets, member->target_index);

		if (known_target->target.state == TARGET_FAILING)
			failing_weight += member->weight;
		if (known_target->target.state != TARGET_SERVING)
			continue;
		serving_weight += member->weight;
		flow_count += known_target->flow_count;
	}
	if (serving_weight > 0)
		bounds.flows_per_weight =
			(double)flow_count / (double)serving_weight;
	bounds.home_share = (double)director->home_slot_count / HOME_SLOT_COUNT;
	bounds.are_failures_ignored =
		(double)failing_weight >
		(double)pool->weight_sum * (1 - NON_FAILING_WEIGHT_SHARE_MIN);
	return bounds;
}

/*
 * This home sees only the flows of its own slots, so it applies the connection
 * limit in proportion to its share of the slots.
 */
static bool is_full(const struct target_record *known_target,
		    const struct load_bounds *bounds)
{
	double limit = known_target->target.connection_limit *
			       bounds->home_share * CONNECTION_SLACK_FACTOR +
		       CONNECTION_SLACK_COUNT;

	limit = MIN(limit, (double)known_target->target.connection_limit);
	return known_target->target.connection_limit > 0 &&
	       known_target->flow_count >= limit;
}

static bool is_busy(const struct target_record *known_target, uint32_t weight,
		    const struct load_bounds *bounds)
{
	double mean = bounds->flows_per_weight * weight;

	return known_target->flow_count >
	       mean * BALANCE_FACTOR + NOISE_FACTOR * sqrt(mean) + 1;
}

static uint32_t grade_target(const struct target_record *known_target,
			     uint32_t weight, const struct load_bounds *bounds,
			     enum reason *reason)
{
	enum target_state state = known_target->target.state;

	if (state == TARGET_FAILING && bounds->are_failures_ignored)
		state = TARGET_SERVING;
	*reason = state_reject_reasons[state];
	if (known_target->is_endpoint_reused)
		*reason = REASON_STALE_TARGET;
	else if (*reason == REASON_NONE && is_full(known_target, bounds))
		*reason = REASON_DEFAULT_FULL;
	else if (*reason == REASON_NONE &&
		 is_busy(known_target, weight, bounds))
		*reason = REASON_DEFAULT_BUSY;
	if (*reason == REASON_NONE)
		return GRADE_AVAILABLE;
	if (*reason == REASON_DEFAULT_BUSY)
		return GRADE_BUSY;
	return state == TARGET_COLD ? GRADE_COLD : GRADE_EXCLUDED;
}

static bool is_better(const struct candidate *a, const struct candidate *b)
{
	if (a->grade != b->grade)
		return a->grade < b->grade;
	return a->cost < b->cost;
}

/*
 * Selects the target of a new flow: the highest-ranked target for this flow
 * that has capacity. This is consistent hashing with bounded loads (Mirrokni,
 * Thorup and Zadimoghaddam, 2018) over a rendezvous ranking; the bounds come
 * from this node's own records, not from what targets report. The reason is
 * REASON_TABLE_DEFAULT, or why the default target was rejected. Returns
 * TARGET_INDEX_NONE when no target accepts new flows.
 */
uint16_t flow_director_select_target(struct flow_director *director,
				     const struct pool_history *history,
				     uint64_t hash_low, enum reason *reason)
{
	const struct pool *pool = &history->pools[0];
	struct load_bounds bounds = compute_bounds(director, pool);
	struct candidate best = {TARGET_INDEX_NONE, 0, GRADE_EXCLUDED};
	uint64_t default_cost = UINT64_MAX;

	*reason = REASON_NO_TARGET;
	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		struct candidate candidate = {member->target_index, 0,
					      GRADE_EXCLUDED};
		enum reason reject_reason;

		candidate.cost = target_rank_cost(member->target_id,
						  member->weight, hash_low);
		candidate.grade =
			grade_target(target_table_at(director->known_targets,
						     member->target_index),
				     member->weight, &bounds, &reject_reason);
		if (candidate.cost < default_cost) {
			default_cost = candidate.cost;
			*reason = reject_reason;
		}
		if (is_better(&candidate, &best))
			best = candidate;
	}
	if (best.grade == GRADE_EXCLUDED) {
		best.target_index = TARGET_INDEX_NONE;
		*reason = REASON_NO_TARGET;
	} else if (best.cost == default_cost) {
		*reason = REASON_TABLE_DEFAULT;
	}
	return best.target_index;
}
