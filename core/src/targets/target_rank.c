#define XXH_INLINE_ALL
#include <core/target_rank.h>

#include "flows/log2_table.h"

#include <xxhash.h>

#define HASH_BITS 64
#define COST_SHIFT 24

/*
 * Returns -log2(hash / 2^64) in units of 2^-26, from a table with linear
 * interpolation. Integers give the same result in every build and on every
 * machine.
 */
static uint64_t negative_log2(uint64_t hash)
{
	uint32_t zeros = (uint32_t)__builtin_clzll(hash | 1);
	uint64_t mantissa = hash << zeros << 1;
	uint32_t index = (uint32_t)(mantissa >> (HASH_BITS - LOG2_TABLE_BITS));
	uint64_t rest = (mantissa << LOG2_TABLE_BITS) >> (HASH_BITS - 32);
	uint64_t low = log2_table[index];
	uint64_t step = log2_table[index + 1] - low;
	uint64_t fraction = low + (step * rest >> 32);

	return ((uint64_t)(zeros + 1) << LOG2_FRACTION_BITS) - fraction;
}

/*
 * Returns the cost of a target for a flow in weighted rendezvous hashing
 * (Schindelhauer and Schomaker, 2005): -log(h) / weight with h uniform in
 * (0, 1). The target with the lowest cost is chosen; a change of one target's
 * weight moves flows to or from that target only. A target of weight 0 has the
 * highest cost. hash_low is the low half of the flow's hash.
 */
uint64_t target_rank_cost(uint64_t target_id, uint32_t weight,
			  uint64_t hash_low)
{
	uint64_t input[2] = {target_id, hash_low};
	uint64_t hash = XXH3_64bits(input, sizeof(input));

	if (weight == 0)
		return UINT64_MAX;
	return (negative_log2(hash) << COST_SHIFT) / weight;
}

/*
 * Returns the serving target with the lowest cost for a flow, or NULL if there
 * is none.
 */
const struct target *target_rank_first(const struct target *targets,
				       uint32_t target_count,
				       struct hash128 flow_hash)
{
	const struct target *best = NULL;
	uint64_t best_cost = 0;

	for (uint32_t i = 0; i < target_count; i++) {
		uint64_t cost;

		if (targets[i].state != TARGET_SERVING)
			continue;
		cost = target_rank_cost(targets[i].target_id, targets[i].weight,
					flow_hash.low);
		if (!best || cost < best_cost) {
			best = &targets[i];
			best_cost = cost;
		}
	}
	return best;
}
