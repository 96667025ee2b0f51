#ifndef CORE_PACKET_EVENT_H
#define CORE_PACKET_EVENT_H

#include <core/flow_key.h>

/* Position of a packet in its flow, as far as the packet's header shows it. */
enum packet_kind {
	PACKET_FIRST,
	PACKET_MIDDLE,
	PACKET_LAST,
	PACKET_RESET,
};

/*
 * The decoded fields of a packet that decisions depend on. For a packet that
 * another node forwarded, from_node_id is that node and hop_count the number of
 * times that nodes have forwarded it; both are 0 for a packet that arrives
 * directly from the network fabric.
 */
struct packet_event {
	struct flow_key key;
	enum packet_kind kind;
	uint8_t hop_count;
	uint64_t from_node_id;
};

#endif
