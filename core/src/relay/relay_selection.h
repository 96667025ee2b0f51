#ifndef RELAY_SELECTION_H
#define RELAY_SELECTION_H

#include "relay_director_state.h"

/* Selects the service and the target of a new flow for the director. */
uint32_t relay_selection_pick_service(struct relay_director *director,
				      const struct relay_route *route);
struct relay_target *relay_selection_choose(struct relay_director *director,
					    const struct relay_flow *flow,
					    int64_t now_ms);
enum reason relay_selection_refusal(struct relay_director *director,
				    uint32_t service_id, int64_t now_ms);
bool relay_selection_is_evacuated(const struct relay_director *director,
				  const struct relay_target *target);

#endif
