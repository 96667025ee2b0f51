#ifndef RELAY_STALL_H
#define RELAY_STALL_H

#include "relay_director_state.h"

#include <core/relay_packet.h>

void relay_stall_begin(struct relay_flow *flow,
		       const struct relay_packet *packet);
bool relay_stall_handle_packet(struct relay_director *director,
			       struct relay_flow *flow,
			       struct relay_target *entry,
			       const struct relay_packet *packet,
			       int64_t previous_ms, int64_t now_ms);

/* Returns whether relay_stall_handle_packet has to see the packet. */
static inline bool relay_stall_concerns(const struct relay_flow *flow,
					const struct relay_packet *packet)
{
	return packet->payload_bytes > 0 ||
	       packet->acknowledged != flow->acknowledged;
}

#endif
