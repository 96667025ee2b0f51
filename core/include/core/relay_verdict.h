#ifndef CORE_RELAY_VERDICT_H
#define CORE_RELAY_VERDICT_H

#include <core/endpoint.h>
#include <core/reason.h>

enum relay_action {
	RELAY_FORWARD,
	RELAY_RESET,
	RELAY_DROP,
	/* Hold the packet: the node is starting and still reads the store. */
	RELAY_HOLD,
};

/*
 * The decision on a packet. For RELAY_FORWARD, target_id and endpoint are the
 * destination and tag is the tag to write into the packet. is_new_decision:
 * the packet is not just the next one of a flow whose target is final.
 * is_answered: the packet shows that the target answered the opening packet,
 * answer_ms after it was sent. is_closed: the packet ends the flow, which this
 * node first saw flow_age_ms ago.
 */
struct relay_verdict {
	enum relay_action action;
	enum reason reason;
	uint64_t target_id;
	struct endpoint endpoint;
	uint32_t tag;
	uint32_t cost_milli;
	uint8_t try_count;
	bool is_new_decision;
	bool is_answered;
	bool is_closed;
	uint32_t answer_ms;
	uint32_t flow_age_ms;
};

#endif
