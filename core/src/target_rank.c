#include <core/target_rank.h>

#include <math.h>
#include <xxhash.h>

#define SCORE_MANTISSA_BITS 53

/*
 * The score of weighted rendezvous hashing (Schindelhauer and Schomaker,
 * 2005): -weight / ln(h) with h uniform in (0, 1). The highest score wins; a
 * change of one target's weight moves flows to or from that target only.
 */
double target_rank_score(uint64_t target_id, uint32_t weight,
			 uint64_t print_low)
{
	uint64_t input[2] = {target_id, print_low};
	uint64_t hash = XXH3_64bits(input, sizeof(input));
	double uniform = ((double)(hash >> (64 - SCORE_MANTISSA_BITS)) + 0.5) /
			 (double)(1ULL << SCORE_MANTISSA_BITS);

	return -(double)weight / log(uniform);
}

/*
 * Returns the serving target that ranks first for a flow, or NULL when none
 * serves.
 */
const struct target *target_rank_first(const struct target *targets,
				       uint32_t target_count,
				       struct flow_print print)
{
	const struct target *best = NULL;
	double best_score = 0;

	for (uint32_t i = 0; i < target_count; i++) {
		double target_score;

		if (targets[i].state != TARGET_SERVING)
			continue;
		target_score = target_rank_score(targets[i].target_id,
						 targets[i].weight, print.low);
		if (!best || target_score > best_score) {
			best = &targets[i];
			best_score = target_score;
		}
	}
	return best;
}
