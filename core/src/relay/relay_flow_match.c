#include "relay_flow_match.h"

/*
 * How far the sequence numbers of a flow may have moved since this node saw its
 * last packet. Both ends draw their first numbers at random, so one in 16,384
 * later flows is taken for the recorded one.
 */
#define MOVED_BYTES_MAX (1U << 24)

/*
 * Returns whether two sequence numbers may be of the same flow. They wrap
 * around, and packets may arrive out of order.
 */
bool relay_flow_is_near(uint32_t left, uint32_t right)
{
	return left - right + MOVED_BYTES_MAX <= 2 * MOVED_BYTES_MAX;
}

/*
 * Returns whether a packet other than an opening one belongs to the recorded
 * flow. The target's numbers are unknown until its first answer is
 * acknowledged, and a reset need not acknowledge anything.
 */
bool relay_flow_matches(const struct relay_flow *flow,
			const struct relay_packet *packet)
{
	return relay_flow_is_near(packet->sequence, flow->last_sequence) &&
	       (!relay_flow_has_target(flow) || packet->is_reset ||
		relay_flow_is_near(packet->acknowledged,
				   flow->last_acknowledged));
}
