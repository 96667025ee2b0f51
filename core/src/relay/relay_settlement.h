#ifndef RELAY_SETTLEMENT_H
#define RELAY_SETTLEMENT_H

#include "relay_director_state.h"

/*
 * Tells the targets that a flow's opening packet was sent to, other than the
 * one where the flow opened, the tag of that one.
 */
void relay_settlement_tell_targets(struct relay_director *director,
				   const struct relay_flow *flow, uint32_t tag,
				   int64_t now_ms);

#endif
