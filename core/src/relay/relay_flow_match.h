#ifndef RELAY_FLOW_MATCH_H
#define RELAY_FLOW_MATCH_H

#include <core/relay_flow.h>
#include <core/relay_packet.h>

/*
 * Tells the packets of a recorded flow from those of an earlier or later flow
 * between the same ports.
 */
bool relay_flow_is_near(uint32_t left, uint32_t right);
bool relay_flow_matches(const struct relay_flow *flow,
			const struct relay_packet *packet);

/* Returns whether a packet after the opening one has settled the target. */
static inline bool relay_flow_has_target(const struct relay_flow *flow)
{
	return flow->state == RELAY_FLOW_OPEN ||
	       flow->state == RELAY_FLOW_CLOSED ||
	       (flow->state == RELAY_FLOW_MOVED && flow->has_opened);
}

/* Records the numbers of a packet of the flow. */
static inline void relay_flow_note_packet(struct relay_flow *flow,
					  const struct relay_packet *packet)
{
	flow->last_sequence = packet->sequence;
	flow->last_acknowledged = packet->acknowledged;
}

#endif
