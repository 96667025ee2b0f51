#ifndef HOST_FLOW_H
#define HOST_FLOW_H

#include <fakes/flow_packet.h>

/* The host's state of one flow. Sequence numbers count bytes, as in TCP. */
struct host_flow {
	struct endpoint caller;
	struct endpoint service;
	uint32_t first_sequence;
	uint32_t next_sequence;
	/* Sequence number of the caller's opening packet. */
	uint32_t opening_sequence;
	/* Sequence number of the next byte expected from the caller. */
	uint32_t expected_sequence;
	/* Sequence number of the first byte of the current response. */
	uint32_t response_sequence;
	uint32_t tag;
	uint64_t request_id;
	bool is_open;
	bool is_closed;
	bool has_request;
	bool is_response_sent;
	int64_t response_due_ms;
};

bool host_flow_has_packet(const struct host_flow *flow,
			  const struct flow_packet *packet);

#endif
