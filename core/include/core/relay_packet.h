#ifndef CORE_RELAY_PACKET_H
#define CORE_RELAY_PACKET_H

#include <core/flow_key.h>

/*
 * A caller's packet as far as decisions need it. tag is what the flow's target
 * last put into a packet to the caller, 0 before the first. sequence and
 * acknowledged are the caller's transport numbers.
 */
struct relay_packet {
	struct endpoint caller;
	struct endpoint service;
	uint32_t tag;
	uint32_t sequence;
	uint32_t acknowledged;
	uint16_t payload_bytes;
	bool is_opening;
	bool is_closing;
	bool is_reset;
};

#endif
