#ifndef CORE_RELAY_PACKET_H
#define CORE_RELAY_PACKET_H

#include <core/flow_key.h>

/*
 * The fields of a caller's packet that decisions depend on. tag is the tag
 * that the caller last received from its target, RELAY_TAG_NONE before the
 * target's first packet. sequence and acknowledged are the sequence and
 * acknowledgement numbers of the transport header. age_ms is how long ago the
 * packet arrived at this node. copy_number is how many copies of an opening
 * packet its caller sent before this one.
 */
struct relay_packet {
	struct endpoint caller;
	struct endpoint service;
	uint32_t tag;
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t age_ms;
	uint16_t payload_bytes;
	uint8_t copy_number;
	bool is_opening;
	bool is_closing;
	bool is_reset;
};

#endif
