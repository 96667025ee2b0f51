#include "flow_director_state.h"

#include <core/target_rank.h>
#include <math.h>

/* A target may hold this much more than its part, plus twice the noise. */
#define BALANCE_FACTOR 1.04
#define NOISE_FACTOR 2.0
#define CONNECTION_SLACK_FACTOR 1.2
#define CONNECTION_SLACK_COUNT 4
/* Failing targets are skipped while at least this part of the pool is not. */
#define EJECTION_FLOOR 0.5

/* Why a target in a state gets no new flow; REASON_NONE when it may. */
static const enum reason state_reasons[TARGET_STATE_COUNT] = {
	[TARGET_SERVING] = REASON_NONE,
	[TARGET_COLD] = REASON_DEFAULT_COLD,
	[TARGET_LEAVING] = REASON_DEFAULT_LEAVING,
	[TARGET_FAILING] = REASON_DEFAULT_FAILING,
	[TARGET_CUT_OFF] = REASON_DEFAULT_CUT_OFF,
	[TARGET_GONE] = REASON_STALE_TARGET,
};

/* The bounds that hold for one choice. */
struct bounds {
	double flows_per_weight;
	double home_share;
	/* Too many fail for that to be believed. */
	bool is_failing_ignored;
};

/* The best target so far in one grade; a lower grade goes first. */
struct candidate {
	uint16_t target_index;
	uint64_t cost;
	uint32_t grade;
};

enum {
	GRADE_GOOD,
	GRADE_BUSY,
	GRADE_COLD,
	GRADE_NEVER,
};

/* Sums up those of the pool that can take flows, which share the load. */
static struct bounds work_out_bounds(struct flow_director *director,
				     const struct pool *pool)
{
	struct bounds bounds = {.flows_per_weight = 0};
	uint64_t failing_weight = 0;
	uint64_t serving_weight = 0;
	uint64_t flow_count = 0;

	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		const struct known_target *known =
			target_book_at(director->book, member->target_index);

		if (known->target.state == TARGET_FAILING)
			failing_weight += member->weight;
		if (known->target.state != TARGET_SERVING)
			continue;
		serving_weight += member->weight;
		flow_count += known->flow_count;
	}
	if (serving_weight > 0)
		bounds.flows_per_weight =
			(double)flow_count / (double)serving_weight;
	bounds.home_share = (double)director->home_slot_count / HOME_SLOT_COUNT;
	bounds.is_failing_ignored =
		(double)failing_weight >
		(double)pool->weight_sum * (1 - EJECTION_FLOOR);
	return bounds;
}

/* This home sees its share of the connections only, so its bound is a share. */
static bool is_full(const struct known_target *known,
		    const struct bounds *bounds)
{
	double limit = known->target.connection_limit * bounds->home_share *
			       CONNECTION_SLACK_FACTOR +
		       CONNECTION_SLACK_COUNT;

	limit = MIN(limit, (double)known->target.connection_limit);
	return known->target.connection_limit > 0 && known->flow_count >= limit;
}

static bool is_busy(const struct known_target *known, uint32_t weight,
		    const struct bounds *bounds)
{
	double mean = bounds->flows_per_weight * weight;

	return known->flow_count >
	       mean * BALANCE_FACTOR + NOISE_FACTOR * sqrt(mean) + 1;
}

static uint32_t grade_of(const struct known_target *known, uint32_t weight,
			 const struct bounds *bounds, enum reason *reason)
{
	enum target_state state = known->target.state;

	if (state == TARGET_FAILING && bounds->is_failing_ignored)
		state = TARGET_SERVING;
	*reason = state_reasons[state];
	if (known->is_reused)
		*reason = REASON_STALE_TARGET;
	else if (*reason == REASON_NONE && is_full(known, bounds))
		*reason = REASON_DEFAULT_FULL;
	else if (*reason == REASON_NONE && is_busy(known, weight, bounds))
		*reason = REASON_DEFAULT_BUSY;
	if (*reason == REASON_NONE)
		return GRADE_GOOD;
	if (*reason == REASON_DEFAULT_BUSY)
		return GRADE_BUSY;
	return state == TARGET_COLD ? GRADE_COLD : GRADE_NEVER;
}

static bool is_better(const struct candidate *a, const struct candidate *b)
{
	if (a->grade != b->grade)
		return a->grade < b->grade;
	return a->cost < b->cost;
}

/*
 * Chooses the target of a new flow: the first of the flow's ranking that may
 * take it. This is consistent hashing with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2018) over a rendezvous ranking; the bounds come from this
 * node's own records, not from what targets report. The reason is
 * REASON_TABLE_DEFAULT or says what spoke against the default. Returns
 * TARGET_INDEX_NONE when no target may take a flow.
 */
uint16_t flow_director_choose(struct flow_director *director,
			      const struct pool_history *history,
			      uint64_t print_low, enum reason *reason)
{
	const struct pool *pool = &history->pools[0];
	struct bounds bounds = work_out_bounds(director, pool);
	struct candidate best = {TARGET_INDEX_NONE, 0, GRADE_NEVER};
	uint64_t default_cost = UINT64_MAX;

	*reason = REASON_NO_TARGET;
	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		struct candidate candidate = {member->target_index, 0,
					      GRADE_NEVER};
		enum reason against;

		candidate.cost = target_rank_cost(member->target_id,
						  member->weight, print_low);
		candidate.grade = grade_of(
			target_book_at(director->book, member->target_index),
			member->weight, &bounds, &against);
		if (candidate.cost < default_cost) {
			default_cost = candidate.cost;
			*reason = against;
		}
		if (is_better(&candidate, &best))
			best = candidate;
	}
	if (best.grade == GRADE_NEVER) {
		best.target_index = TARGET_INDEX_NONE;
		*reason = REASON_NO_TARGET;
	} else if (best.cost == default_cost) {
		*reason = REASON_TABLE_DEFAULT;
	}
	return best.target_index;
}
