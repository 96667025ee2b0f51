#include "relay_trial.h"

/* Starts a trial of choices of one service. End it with relay_trial_end. */
void relay_trial_begin(struct relay_trial *trial,
		       struct relay_director *director, uint32_t service_id)
{
	trial->director = director;
	trial->saved = *director;
	trial->pools =
		relay_directory_service_pools(director->directory, service_id);
	trial->targets = relay_directory_service_targets(director->directory,
							 service_id);
	trial->saved_pools = g_new(struct relay_pool, trial->pools->len);
	trial->saved_targets = g_new(struct relay_target, trial->targets->len);
	for (guint i = 0; i < trial->pools->len; i++)
		trial->saved_pools[i] =
			*(const struct relay_pool *)g_ptr_array_index(
				trial->pools, i);
	for (guint i = 0; i < trial->targets->len; i++)
		trial->saved_targets[i] =
			*(const struct relay_target *)g_ptr_array_index(
				trial->targets, i);
	director->random = g_rand_copy(director->random);
}

/* Puts everything back as it was before relay_trial_begin. */
void relay_trial_end(struct relay_trial *trial)
{
	g_rand_free(trial->director->random);
	*trial->director = trial->saved;
	for (guint i = 0; i < trial->pools->len; i++)
		*(struct relay_pool *)g_ptr_array_index(trial->pools, i) =
			trial->saved_pools[i];
	for (guint i = 0; i < trial->targets->len; i++)
		*(struct relay_target *)g_ptr_array_index(trial->targets, i) =
			trial->saved_targets[i];
	g_free(trial->saved_pools);
	g_free(trial->saved_targets);
}
