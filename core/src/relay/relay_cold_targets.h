#ifndef RELAY_COLD_TARGETS_H
#define RELAY_COLD_TARGETS_H

#include "relay_director_state.h"

/* Applies the rate of cold targets to the director's opening packets. */
bool relay_cold_targets_has_rate(const struct relay_director *director,
				 uint32_t service_id);
bool relay_cold_targets_may_send(struct relay_director *director,
				 const struct relay_target *entry,
				 int64_t now_ms);
bool relay_cold_targets_use(const struct relay_director *director,
			    struct relay_target *entry, int64_t now_ms);
void relay_cold_targets_sweep(struct relay_director *director, int64_t now_ms);

#endif
