#include "host_flow.h"

/* A caller sends fewer bytes on a flow. */
#define FLOW_BYTES_MAX (1U << 20)

/*
 * Returns whether a packet of the caller belongs to this flow, by its sequence
 * number, and not to another flow from the same port.
 */
bool host_flow_has_packet(const struct host_flow *flow,
			  const struct flow_packet *packet)
{
	return packet->sequence - flow->opening_sequence <= FLOW_BYTES_MAX;
}
