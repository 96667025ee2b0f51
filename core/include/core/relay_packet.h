#ifndef CORE_RELAY_PACKET_H
#define CORE_RELAY_PACKET_H

#include <core/flow_key.h>

/*
 * The fields of a caller's packet that decisions depend on. tag is the tag
 * that the caller last received from its target, RELAY_TAG_NONE before the
 * target's first packet. sequence and acknowledged are the sequence and
 * acknowledgement numbers of the transport header.
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
