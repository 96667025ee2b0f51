#ifndef CORE_RELAY_FLOW_H
#define CORE_RELAY_FLOW_H

#include <core/flow_key.h>
#include <sys/queue.h>

/* The longest opening packet that is kept to be sent again. */
#define RELAY_OPENING_BYTES_MAX 64

/* To how many targets the opening packet of a flow is sent. */
#define RELAY_TRY_COUNT_MAX 3

enum relay_flow_state {
	/* Its opening packet waits for an answer. */
	RELAY_FLOW_OPENING,
	/* A packet behind the opening one has passed; the tag is settled. */
	RELAY_FLOW_OPEN,
	/* Its end has passed, or it went to another node. */
	RELAY_FLOW_ENDED,
};

/*
 * What a node remembers of a flow that it carries. It is a hint: the caller's
 * packets name the target themselves. tried lists the tags that the opening
 * packet went to; sent_ms is when it last left, began_ms when the flow was
 * first seen here, placed_ms when it last moved in the order of use.
 */
struct relay_flow {
	struct flow_print print;
	enum relay_flow_state state;
	uint32_t tag;
	uint32_t sequence;
	uint32_t service_id;
	int64_t began_ms;
	int64_t sent_ms;
	int64_t used_ms;
	int64_t placed_ms;
	uint32_t tried[RELAY_TRY_COUNT_MAX];
	uint8_t try_count;
	uint8_t opening_bytes;
	bool is_counted;
	uint8_t opening[RELAY_OPENING_BYTES_MAX];
	TAILQ_ENTRY(relay_flow) by_use;
	TAILQ_ENTRY(relay_flow) by_sent;
};

#endif
