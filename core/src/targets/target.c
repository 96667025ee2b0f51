#include <core/target.h>

#include <xxhash.h>

static const char *const state_names[TARGET_STATE_COUNT] = {
	[TARGET_SERVING] = "serving", [TARGET_COLD] = "cold",
	[TARGET_LEAVING] = "leaving", [TARGET_FAILING] = "failing",
	[TARGET_CUT_OFF] = "cut_off", [TARGET_GONE] = "gone",
};

/* Hashes endpoint, incarnation and service to an id, never TARGET_NONE. */
uint64_t target_id_of(const struct target *target)
{
	uint64_t input[2] = {endpoint_hash(&target->endpoint, 0),
			     ((uint64_t)target->service_id << 32) |
				     target->incarnation};
	uint64_t target_id = XXH3_64bits(input, sizeof(input));

	return target_id != TARGET_NONE ? target_id : 1;
}

/* Returns the name of a state for logs and the status page. */
const char *target_state_name(enum target_state state)
{
	return state < TARGET_STATE_COUNT ? state_names[state] : "invalid";
}
