#ifndef HOST_FLOW_H
#define HOST_FLOW_H

#include <fakes/end_packet.h>

/* A host's end of one flow. Sequence numbers count bytes, as in TCP. */
struct host_flow {
	struct endpoint caller;
	struct endpoint service;
	uint32_t first_sequence;
	uint32_t next_sequence;
	/* The caller's byte that comes next. */
	uint32_t expected_sequence;
	/* Where the answer under way begins. */
	uint32_t answer_sequence;
	uint32_t tag;
	uint64_t request_id;
	bool is_open;
	bool is_ended;
	bool has_request;
	bool is_answered;
	int64_t due_ms;
};

#endif
