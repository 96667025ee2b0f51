#ifndef CORE_TARGET_CHOICE_H
#define CORE_TARGET_CHOICE_H

#include <glib.h>
#include <stdint.h>

/*
 * A target that may get a request, and its load as measured by this node:
 * in_flight is the number of this node's requests at the target, weight_milli
 * its weight and latency_ratio_milli its relative latency, as in target_limit.
 */
struct target_candidate {
	uint32_t index;
	uint32_t in_flight;
	uint32_t weight_milli;
	uint32_t latency_ratio_milli;
};

#define CANDIDATE_NONE UINT32_MAX

uint32_t target_choice_pick(const struct target_candidate *candidates,
			    uint32_t candidate_count, uint32_t preferred_index,
			    GRand *rand);

#endif
