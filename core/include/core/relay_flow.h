#ifndef CORE_RELAY_FLOW_H
#define CORE_RELAY_FLOW_H

#include <core/flow_key.h>
#include <sys/queue.h>

/* Longer opening packets are not stored, so this node never resends them. */
#define RELAY_OPENING_BYTES_MAX 64

#define CACHE_LINE_BYTES 64

/* The most retransmissions in a row that a record counts. */
#define RELAY_FLOW_RESENT_COUNT_MAX 15

/* Maximum number of targets that the opening packet of a flow is sent to. */
#define RELAY_TRY_COUNT_MAX 3

/* Values of relay_flow.state. */
enum relay_flow_state {
	/* The opening packet has been sent and not answered yet. */
	RELAY_FLOW_OPENING,
	/* A later packet has passed, so the target is final. */
	RELAY_FLOW_OPEN,
	/* No target answered. */
	RELAY_FLOW_ENDED,
	/* Another node has taken the flow over. */
	RELAY_FLOW_MOVED,
	/*
	 * The caller has closed or reset the flow. Its last packets still go to
	 * its target; those of a later flow from the same port do not.
	 */
	RELAY_FLOW_CLOSED,
};

/* Values of relay_flow.request: the latest request of the caller. */
enum relay_request_state {
	/* None was seen. */
	RELAY_REQUEST_NONE,
	/* The flow's first one is unanswered, and was sent once. */
	RELAY_REQUEST_FIRST,
	/* A later one is unanswered, and was sent once. */
	RELAY_REQUEST_LATER,
	/* It is unanswered, and when it was sent is not certain. */
	RELAY_REQUEST_UNTIMED,
	/* The caller has acknowledged an answer. */
	RELAY_REQUEST_ANSWERED,
};

/* Value of relay_flow.answer_delay_ms if the delay is longer or unknown. */
#define RELAY_ANSWER_DELAY_UNKNOWN UINT8_MAX

/*
 * A node's record of a flow whose packets it forwards. Losing the record does
 * not break an open flow, as the caller's packets carry the target's tag. tag
 * identifies the flow's target, tried_tags the targets that the opening packet
 * was sent to. sequence is the sequence number of the opening packet;
 * last_sequence and last_acknowledged are the numbers of the last packet, by
 * which packets of another flow between the same ports are recognized. opening
 * is a copy of the opening packet, opening_bytes long, which the flow table
 * owns; opening_bytes is 0 if it was not stored. sent_ms is when it was last
 * sent, first_seen_ms when this node first saw the flow (modulo 2^32), used_ms
 * when it last saw a packet of the flow, and reordered_ms when the flow last
 * moved to the end of its list in the flow table. The opening packet may be
 * resent for opening_life_ms after used_ms. Once the flow is open,
 * data_sequence is the highest sequence number of the caller's data,
 * acknowledged what the caller last acknowledged, and resent_count how often in
 * a row it sent data again; they take the place of sent_ms. request and
 * answer_delay_ms, which is how long the handshake took, tell how long a target
 * takes for a request. is_counted: the
 * flow is included in the open flows of its target. has_opened: the flow was
 * open here, so that its target is known though another node has taken it over
 * since. number identifies the record in its pool. What each packet of an open
 * flow uses stands first, within one cache line.
 */
struct relay_flow {
	_Alignas(CACHE_LINE_BYTES) struct hash128 hash;
	uint32_t tag;
	uint32_t sequence;
	int64_t used_ms;
	int64_t reordered_ms;
	uint32_t first_seen_ms;
	uint16_t opening_life_ms;
	uint8_t request;
	uint8_t answer_delay_ms;
	uint32_t last_sequence;
	uint32_t last_acknowledged;
	uint32_t service_id;
	uint8_t state : 4;
	uint8_t resent_count : 4;
	uint8_t try_count;
	uint8_t opening_bytes;
	bool is_counted : 1;
	bool has_opened : 1;
	TAILQ_ENTRY(relay_flow) by_use;
	TAILQ_ENTRY(relay_flow) by_sent;
	uint8_t *opening;
	union {
		int64_t sent_ms;
		struct {
			uint32_t data_sequence;
			uint32_t acknowledged;
		};
	};
	uint32_t tried_tags[RELAY_TRY_COUNT_MAX];
	uint32_t number;
};

#endif
