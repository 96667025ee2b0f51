#ifndef CORE_TARGET_STATES_H
#define CORE_TARGET_STATES_H

#include <core/rule_set.h>

/*
 * The state of each target as last reported by the store or by probes,
 * including targets that no rule lists yet.
 */
struct target_states;

struct target_states *target_states_new(void);
void target_states_free(struct target_states *states);
void target_states_set(struct target_states *states, uint64_t target_id,
		       enum target_state state, int64_t now_ms);
enum target_state target_states_get(const struct target_states *states,
				    const struct target *target);
void target_states_remove_unlisted(struct target_states *states,
				   const struct rule_set *rules,
				   int64_t now_ms);

#endif
