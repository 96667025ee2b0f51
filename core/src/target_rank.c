#include <core/target_rank.h>

#include <math.h>
#include <xxhash.h>

#define SCORE_MANTISSA_BITS 53

/*
 * The score of weighted rendezvous hashing (Schindelhauer and Schomaker,
 * 2005): -weight / ln(h) with h uniform in (0, 1).
 */
static double score(const struct target *target, struct flow_print print)
{
	uint64_t input[2] = {target->target_id, print.low};
	uint64_t hash = XXH3_64bits(input, sizeof(input));
	double uniform = ((double)(hash >> (64 - SCORE_MANTISSA_BITS)) + 0.5) /
			 (double)(1ULL << SCORE_MANTISSA_BITS);

	return -(double)target->weight / log(uniform);
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
		target_score = score(&targets[i], print);
		if (!best || target_score > best_score) {
			best = &targets[i];
			best_score = target_score;
		}
	}
	return best;
}
