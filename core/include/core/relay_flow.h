#ifndef CORE_RELAY_FLOW_H
#define CORE_RELAY_FLOW_H

#include <core/flow_key.h>
#include <sys/queue.h>

/* Longer opening packets are not stored and so never sent again. */
#define RELAY_OPENING_BYTES_MAX 64

/* Maximum number of targets that the opening packet of a flow is sent to. */
#define RELAY_TRY_COUNT_MAX 3

enum relay_flow_state {
	/* The opening packet has been sent and not answered yet. */
	RELAY_FLOW_OPENING,
	/* A later packet has passed, so the target is final. */
	RELAY_FLOW_OPEN,
	/* Closed or given up before it was open, or carried by another node. */
	RELAY_FLOW_ENDED,
};

/*
 * What a node remembers of a flow that it carries. Losing the record does not
 * break an open flow, as the caller's packets carry the target's tag.
 * tried_tags lists the tags that the opening packet was sent to, sent_ms is
 * when it was last sent, first_seen_ms when this node first saw the flow, and
 * reordered_ms when the flow last moved to the end of its list in the flow
 * table. is_counted: the flow is included in the open flows of its target.
 */
struct relay_flow {
	struct hash128 print;
	enum relay_flow_state state;
	uint32_t tag;
	uint32_t sequence;
	uint32_t service_id;
	int64_t first_seen_ms;
	int64_t sent_ms;
	int64_t used_ms;
	int64_t reordered_ms;
	uint32_t tried_tags[RELAY_TRY_COUNT_MAX];
	uint8_t try_count;
	uint8_t opening_bytes;
	bool is_counted;
	uint8_t opening[RELAY_OPENING_BYTES_MAX];
	TAILQ_ENTRY(relay_flow) by_use;
	TAILQ_ENTRY(relay_flow) by_sent;
};

#endif
