#include "relay_request.h"

#include <glib.h>

/* The end of a flow takes one sequence number. */
#define END_SEQUENCE_COUNT 1

/*
 * Starts the record of a flow's requests with the first packet after the
 * opening one. If several targets were tried, it is not known when the one
 * that answered got the opening packet.
 */
void relay_request_start(struct relay_flow *flow, int64_t now_ms)
{
	int64_t delay_ms = now_ms - flow->sent_ms;

	flow->request = RELAY_REQUEST_NONE;
	flow->answer_delay_ms = RELAY_ANSWER_DELAY_UNKNOWN;
	if (flow->state == RELAY_FLOW_OPENING && flow->try_count == 1 &&
	    delay_ms < RELAY_ANSWER_DELAY_UNKNOWN)
		flow->answer_delay_ms = (uint8_t)delay_ms;
}

/* Starts the record of a flow that may have an unanswered request already. */
void relay_request_take_over(struct relay_flow *flow)
{
	flow->request = RELAY_REQUEST_UNTIMED;
	flow->answer_delay_ms = RELAY_ANSWER_DELAY_UNKNOWN;
}

static bool is_after(uint32_t number, uint32_t reference)
{
	return (int32_t)(number - reference) > 0;
}

static bool is_timed(const struct relay_flow *flow)
{
	return flow->request == RELAY_REQUEST_FIRST ||
	       flow->request == RELAY_REQUEST_LATER;
}

/*
 * Data that the caller sent again begins no request, and makes the time of its
 * request uncertain.
 */
static struct relay_request_event note_data(struct relay_flow *flow,
					    const struct relay_packet *packet)
{
	bool has_advanced = is_after(packet->acknowledged, flow->acknowledged);
	bool is_first = flow->request == RELAY_REQUEST_NONE;
	struct relay_request_event event = {.is_begun = false};

	if (!is_after(packet->sequence, flow->data_sequence)) {
		if (flow->request != RELAY_REQUEST_ANSWERED)
			flow->request = RELAY_REQUEST_UNTIMED;
		return event;
	}
	if (!is_first && flow->request != RELAY_REQUEST_ANSWERED &&
	    !has_advanced)
		return event;
	event.is_begun = true;
	event.is_first = is_first;
	event.is_ended = is_timed(flow);
	flow->request = is_first ? RELAY_REQUEST_FIRST : RELAY_REQUEST_LATER;
	return event;
}

/*
 * The transit of packets is no work, so the duration of the handshake is taken
 * off. The end of a flow that carried several requests may follow the answer by
 * the caller's pause.
 */
static struct relay_request_event note_answer(struct relay_flow *flow,
					      const struct relay_packet *packet,
					      int64_t previous_ms,
					      int64_t now_ms)
{
	int64_t duration_ms = now_ms - previous_ms - flow->answer_delay_ms;
	struct relay_request_event event = {.is_begun = false};

	event.is_ended = is_timed(flow) &&
			 flow->answer_delay_ms != RELAY_ANSWER_DELAY_UNKNOWN;
	event.is_seen =
		event.is_ended &&
		!(packet->is_closing && flow->request == RELAY_REQUEST_LATER);
	if (event.is_seen)
		event.duration_ms = (uint32_t)CLAMP(duration_ms, 0, UINT32_MAX);
	flow->request = RELAY_REQUEST_ANSWERED;
	return event;
}

/*
 * Updates the record of an open flow's requests for a packet, before
 * data_sequence and acknowledged are updated, and returns what the packet
 * shows. previous_ms is when the flow's previous packet passed.
 */
struct relay_request_event relay_request_note(struct relay_flow *flow,
					      const struct relay_packet *packet,
					      int64_t previous_ms,
					      int64_t now_ms)
{
	if (packet->is_reset)
		return (struct relay_request_event){.is_begun = false};
	if (packet->payload_bytes > 0)
		return note_data(flow, packet);
	if (is_after(packet->acknowledged,
		     flow->acknowledged + END_SEQUENCE_COUNT))
		return note_answer(flow, packet, previous_ms, now_ms);
	return (struct relay_request_event){.is_begun = false};
}
