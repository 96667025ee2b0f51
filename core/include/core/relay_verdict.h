#ifndef CORE_RELAY_VERDICT_H
#define CORE_RELAY_VERDICT_H

#include <core/endpoint.h>
#include <core/reason.h>

enum relay_action {
	RELAY_FORWARD,
	RELAY_RESET,
	RELAY_DROP,
	/* Kept for a moment: the node has just started and will know more. */
	RELAY_HOLD,
};

/*
 * What becomes of a packet. Where it is forwarded, target_id and endpoint say
 * to whom and tag is what goes into the packet. is_new_decision: not just the
 * next packet of a flow whose target is settled. is_answered: the packet shows
 * that the target answered the opening packet answer_ms after it left.
 * is_closed: it ends the flow, which this node has known for flow_age_ms.
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
