#include "caller_flow.h"

#include "end_answer.h"

#include <string.h>

/* When the platform's callers send copies of an opening packet and give up. */
#define OPENING_COPY_1_MS 200
#define OPENING_COPY_2_MS 600
#define OPENING_END_MS 1400
#define OPENING_COPY_COUNT 2
/* When packets without an acknowledgement are sent again. */
#define RESEND_FIRST_MS 200
#define RESEND_MAX_MS 1600
/* A request without a whole answer for this long has failed. */
#define REQUEST_END_MS 8000
/* A few repeats; nobody waits for the end of a flow. */
#define CLOSING_END_MS 1000
/* How far a reset's number may be from what was acknowledged last. */
#define RESET_WINDOW_BYTES 76800

enum flow_phase {
	FLOW_OPENING,
	FLOW_ASKING,
	FLOW_PAUSING,
	FLOW_CLOSING,
	FLOW_OVER,
};

struct caller_flow {
	struct caller_flow_options options;
	enum flow_phase phase;
	int64_t phase_ms;
	int64_t resend_ms;
	uint32_t resend_interval_ms;
	uint32_t copy_count;
	uint32_t tag;
	uint32_t next_sequence;
	uint32_t expected_sequence;
	uint64_t request_id;
	char *request;
	char *answer;
	/* Which bytes of the answer have come. */
	GByteArray *received;
	uint32_t received_bytes;
	bool is_finishing;
};

static void enter(struct caller_flow *flow, enum flow_phase phase,
		  int64_t now_ms)
{
	flow->phase = phase;
	flow->phase_ms = now_ms;
	flow->resend_interval_ms = RESEND_FIRST_MS;
	flow->resend_ms = now_ms + flow->resend_interval_ms;
}

static void tell(struct caller_flow *flow, enum end_event_kind kind,
		 int64_t now_ms)
{
	struct end_event event = {
		.kind = kind,
		.at_ms = now_ms,
		.started_ms = flow->phase_ms,
		.caller = flow->options.caller,
		.service = flow->options.service,
		.request_id = flow->request_id,
	};

	flow->options.seen(flow->options.context, &event);
}

static void end(struct caller_flow *flow, enum end_event_kind kind,
		int64_t now_ms)
{
	tell(flow, kind, now_ms);
	flow->phase = FLOW_OVER;
}

static void send_packet(struct caller_flow *flow, uint8_t flags,
			uint32_t sequence, const char *data)
{
	struct end_packet packet = {
		.flags = flags,
		.source = flow->options.caller,
		.destination = flow->options.service,
		.tag = flow->tag,
		.sequence = sequence,
		.acknowledged = flow->expected_sequence,
		.data = (const uint8_t *)data,
		.data_bytes = data ? (uint16_t)strlen(data) : 0,
	};

	if (flags == END_FLAG_SYN)
		packet.acknowledged = flow->copy_count;
	flow->options.send(flow->options.context, &packet);
}

static void send_request(struct caller_flow *flow)
{
	send_packet(flow, END_FLAG_ACK, flow->next_sequence, flow->request);
}

/* Makes a flow and sends its opening packet; the caller frees it. */
struct caller_flow *caller_flow_new(const struct caller_flow_options *options,
				    int64_t now_ms)
{
	struct caller_flow *flow = g_new0(struct caller_flow, 1);

	flow->options = *options;
	flow->request_id = options->first_request_id;
	flow->next_sequence = options->first_sequence + 1;
	flow->received = g_byte_array_new();
	enter(flow, FLOW_OPENING, now_ms);
	send_packet(flow, END_FLAG_SYN, options->first_sequence, NULL);
	return flow;
}

/* Frees a flow. */
void caller_flow_free(struct caller_flow *flow)
{
	g_byte_array_free(flow->received, TRUE);
	g_free(flow->request);
	g_free(flow->answer);
	g_free(flow);
}

static void ask(struct caller_flow *flow, int64_t now_ms)
{
	g_free(flow->request);
	g_free(flow->answer);
	flow->request = end_request_text(flow->request_id);
	flow->answer =
		end_answer_text(flow->request_id, flow->options.service.port);
	g_byte_array_set_size(flow->received, (guint)strlen(flow->answer));
	memset(flow->received->data, 0, flow->received->len);
	flow->received_bytes = 0;
	enter(flow, FLOW_ASKING, now_ms);
	send_request(flow);
}

static void close_flow(struct caller_flow *flow, int64_t now_ms)
{
	enter(flow, FLOW_CLOSING, now_ms);
	send_packet(flow, END_FLAG_ACK | END_FLAG_FIN, flow->next_sequence,
		    NULL);
}

static void take_whole(struct caller_flow *flow, bool is_closed, int64_t now_ms)
{
	uint32_t request_bytes = (uint32_t)strlen(flow->request);

	tell(flow, END_EVENT_ANSWERED, now_ms);
	flow->expected_sequence += flow->received_bytes;
	flow->next_sequence += request_bytes;
	flow->request_id++;
	if (is_closed) {
		close_flow(flow, now_ms);
		return;
	}
	enter(flow, FLOW_PAUSING, now_ms);
	send_packet(flow, END_FLAG_ACK, flow->next_sequence, NULL);
}

/* Takes a part of the answer; it must be what the host has to send. */
static void take_part(struct caller_flow *flow, const struct end_packet *packet,
		      int64_t now_ms)
{
	uint32_t offset = packet->sequence - flow->expected_sequence;
	uint32_t length_bytes = (uint32_t)strlen(flow->answer);

	if (offset > RESET_WINDOW_BYTES)
		return;
	if (offset + packet->data_bytes > length_bytes ||
	    memcmp(flow->answer + offset, packet->data, packet->data_bytes) !=
		    0) {
		end(flow, END_EVENT_WRONG_ANSWER, now_ms);
		return;
	}
	for (uint32_t i = 0; i < packet->data_bytes; i++) {
		flow->received_bytes += flow->received->data[offset + i] == 0;
		flow->received->data[offset + i] = 1;
	}
	if (flow->received_bytes == length_bytes)
		take_whole(flow, packet->flags & END_FLAG_FIN, now_ms);
}

static void take_opening_answer(struct caller_flow *flow,
				const struct end_packet *packet, int64_t now_ms)
{
	if (flow->phase != FLOW_OPENING ||
	    packet->acknowledged != flow->next_sequence)
		return;
	flow->expected_sequence = packet->sequence + 1;
	ask(flow, now_ms);
}

static void take_foreign_reset(struct caller_flow *flow,
			       const struct end_packet *packet, int64_t now_ms)
{
	int32_t distance =
		(int32_t)(packet->sequence - flow->expected_sequence);

	if (flow->phase == FLOW_OPENING)
		end(flow, END_EVENT_OPENING_RESET, now_ms);
	else if (distance >= -RESET_WINDOW_BYTES &&
		 distance <= RESET_WINDOW_BYTES)
		end(flow, END_EVENT_FLOW_RESET, now_ms);
}

static void take_host_reset(struct caller_flow *flow, int64_t now_ms)
{
	if (flow->phase == FLOW_CLOSING)
		flow->phase = FLOW_OVER;
	else
		end(flow, END_EVENT_HOST_RESET, now_ms);
}

static void take_host_packet(struct caller_flow *flow,
			     const struct end_packet *packet, int64_t now_ms)
{
	flow->tag = packet->tag;
	if (packet->flags & END_FLAG_RST)
		take_host_reset(flow, now_ms);
	else if (packet->flags & END_FLAG_SYN)
		take_opening_answer(flow, packet, now_ms);
	else if (flow->phase == FLOW_CLOSING && packet->flags & END_FLAG_FIN)
		flow->phase = FLOW_OVER;
	else if (flow->phase == FLOW_ASKING && packet->data_bytes > 0)
		take_part(flow, packet, now_ms);
}

/* Takes a packet that came to the flow's end. */
void caller_flow_receive(struct caller_flow *flow,
			 const struct end_packet *packet,
			 enum end_packet_result result, int64_t now_ms)
{
	if (flow->phase == FLOW_OVER)
		return;
	switch (result) {
	case END_PACKET_WHOLE:
		take_host_packet(flow, packet, now_ms);
		return;
	case END_PACKET_FOREIGN_RESET:
		take_foreign_reset(flow, packet, now_ms);
		return;
	case END_PACKET_MALFORMED:
	case END_PACKET_CHANGED:
		tell(flow, END_EVENT_CALLER_GOT_CHANGED, now_ms);
		return;
	}
}

static void tick_opening(struct caller_flow *flow, int64_t age_ms,
			 int64_t now_ms)
{
	static const int64_t copy_ages_ms[OPENING_COPY_COUNT] = {
		OPENING_COPY_1_MS, OPENING_COPY_2_MS};

	if (age_ms >= OPENING_END_MS) {
		end(flow, END_EVENT_OPENING_UNANSWERED, now_ms);
		return;
	}
	if (flow->copy_count == OPENING_COPY_COUNT ||
	    age_ms < copy_ages_ms[flow->copy_count])
		return;
	flow->copy_count++;
	send_packet(flow, END_FLAG_SYN, flow->options.first_sequence, NULL);
}

static void tick_asking(struct caller_flow *flow, int64_t age_ms,
			int64_t now_ms)
{
	if (age_ms >= REQUEST_END_MS) {
		end(flow, END_EVENT_REQUEST_UNANSWERED, now_ms);
		return;
	}
	if (now_ms < flow->resend_ms)
		return;
	flow->resend_interval_ms =
		MIN(flow->resend_interval_ms * 2, RESEND_MAX_MS);
	flow->resend_ms = now_ms + flow->resend_interval_ms;
	send_request(flow);
}

static void tick_pausing(struct caller_flow *flow, int64_t age_ms,
			 int64_t now_ms)
{
	if (flow->is_finishing || now_ms >= flow->options.end_ms)
		close_flow(flow, now_ms);
	else if (age_ms >= flow->options.pause_ms)
		ask(flow, now_ms);
}

static void tick_closing(struct caller_flow *flow, int64_t age_ms,
			 int64_t now_ms)
{
	if (age_ms >= CLOSING_END_MS) {
		flow->phase = FLOW_OVER;
		return;
	}
	if (now_ms < flow->resend_ms)
		return;
	flow->resend_ms = now_ms + RESEND_FIRST_MS;
	send_packet(flow, END_FLAG_ACK | END_FLAG_FIN, flow->next_sequence,
		    NULL);
}

/* Does what time demands. */
void caller_flow_tick(struct caller_flow *flow, int64_t now_ms)
{
	int64_t age_ms = now_ms - flow->phase_ms;

	switch (flow->phase) {
	case FLOW_OPENING:
		tick_opening(flow, age_ms, now_ms);
		return;
	case FLOW_ASKING:
		tick_asking(flow, age_ms, now_ms);
		return;
	case FLOW_PAUSING:
		tick_pausing(flow, age_ms, now_ms);
		return;
	case FLOW_CLOSING:
		tick_closing(flow, age_ms, now_ms);
		return;
	case FLOW_OVER:
		return;
	}
}

/* Has the flow close with its next answer. */
void caller_flow_finish(struct caller_flow *flow)
{
	flow->is_finishing = true;
}

/* Tells whether the flow has ended, one way or another. */
bool caller_flow_is_over(const struct caller_flow *flow)
{
	return flow->phase == FLOW_OVER;
}
