#include <core/target_choice.h>

/*
 * Targets whose ratio of their latency to the service's mean latency is lower
 * count as equally fast.
 */
#define LATENCY_RATIO_NOISE_MILLI 1700

static uint64_t load(const struct target_candidate *candidate)
{
	uint32_t weight_milli = MAX(candidate->weight_milli, 1);
	uint32_t latency_ratio_milli =
		MAX(candidate->latency_ratio_milli, LATENCY_RATIO_NOISE_MILLI);

	return ((uint64_t)candidate->in_flight + 1) * 1000 *
	       latency_ratio_milli / weight_milli;
}

static uint32_t find(const struct target_candidate *candidates,
		     uint32_t candidate_count, uint32_t index)
{
	for (uint32_t i = 0; i < candidate_count; i++) {
		if (candidates[i].index == index)
			return i;
	}
	return CANDIDATE_NONE;
}

/*
 * Picks the less loaded of two targets chosen at random (the power of two
 * choices; Mitzenmacher, 2001) and returns its index, or CANDIDATE_NONE if
 * there is no candidate. preferred_index, the target that has just completed
 * a request, is one of the two if it is a candidate, as it is known to have a
 * free slot.
 */
uint32_t target_choice_pick(const struct target_candidate *candidates,
			    uint32_t candidate_count, uint32_t preferred_index,
			    GRand *rand)
{
	uint32_t first;
	uint32_t second;

	if (candidate_count == 0)
		return CANDIDATE_NONE;
	first = find(candidates, candidate_count, preferred_index);
	if (first == CANDIDATE_NONE)
		first = (uint32_t)g_rand_int_range(rand, 0,
						   (gint32)candidate_count);
	if (candidate_count == 1)
		return candidates[first].index;
	second = (uint32_t)g_rand_int_range(rand, 0,
					    (gint32)candidate_count - 1);
	if (second >= first)
		second++;
	if (load(&candidates[second]) < load(&candidates[first]))
		first = second;
	return candidates[first].index;
}
