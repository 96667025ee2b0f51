#ifndef RELAY_TRIAL_H
#define RELAY_TRIAL_H

#include "relay_director_state.h"

/*
 * A choice that leaves no trace: between begin and end the director draws from
 * a copy of its random numbers, and end puts back what choices change in the
 * director, the service's pools and its targets. Meanwhile the directory must
 * not change.
 */
struct relay_trial {
	struct relay_director *director;
	struct relay_director saved;
	const GPtrArray *pools;
	const GPtrArray *targets;
	struct relay_pool *saved_pools;
	struct relay_target *saved_targets;
};

void relay_trial_begin(struct relay_trial *trial,
		       struct relay_director *director, uint32_t service_id);
void relay_trial_end(struct relay_trial *trial);

#endif
