#ifndef CORE_RELAY_VERDICT_H
#define CORE_RELAY_VERDICT_H

#include <core/endpoint.h>
#include <core/reason.h>

enum relay_action {
	RELAY_FORWARD,
	RELAY_RESET,
	RELAY_DROP,
	/* Keep the packet while the starting node reads the store. */
	RELAY_HOLD,
};

/*
 * The decision on a packet. For RELAY_FORWARD, target_id and endpoint are the
 * destination and tag is the tag to write into the packet. is_new_decision: a
 * target was chosen for the packet, or the packet was rejected; false if it
 * goes to the target that the flow already has, and for RELAY_HOLD. cost_milli
 * is the cost of a newly chosen target, and try_count how many targets the
 * opening packet has been sent to. is_answered: the packet shows that the
 * target answered the opening packet, answer_delay_ms after it was sent.
 * is_cold: the packet is an opening one for a target whose rate is limited.
 * is_closed: the packet ends the flow, which this node first saw flow_age_ms
 * ago.
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
	bool is_cold;
	uint32_t answer_delay_ms;
	uint32_t flow_age_ms;
};

#endif
