#ifndef CORE_PACKET_EVENT_H
#define CORE_PACKET_EVENT_H

#include <core/flow_key.h>

/* What the packet opens or closes, as far as its header tells. */
enum packet_kind {
	PACKET_FIRST,
	PACKET_MIDDLE,
	PACKET_LAST,
	PACKET_RESET,
};

/* A packet as decisions see it: no payload, no encoding. */
struct packet_event {
	struct flow_key key;
	enum packet_kind kind;
	uint8_t hop_count;
	uint64_t from_node_id;
};

#endif
