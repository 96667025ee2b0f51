#include "caller_flow.h"

#include "sample_http.h"

#include <string.h>

/*
 * Age of the flow at which the opening packet is sent again and at which the
 * opening fails, as with the platform's callers.
 */
#define OPENING_RETRY_1_MS 200
#define OPENING_RETRY_2_MS 600
#define OPENING_TIMEOUT_MS 1400
#define OPENING_RETRY_COUNT 2
/* Initial and maximum interval at which unacknowledged packets are resent. */
#define RESEND_FIRST_MS 200
#define RESEND_MAX_MS 1600
/* A request fails if its response is not complete after this time. */
#define REQUEST_TIMEOUT_MS 8000
/*
 * Enough for a few resends of FIN. The flow then ends without an event, as its
 * last request has already succeeded.
 */
#define CLOSING_TIMEOUT_MS 1000
/*
 * Maximum distance of a reset's sequence number from the last acknowledged
 * sequence number. Response data further ahead is ignored as well.
 */
#define RESET_WINDOW_BYTES 76800
/* A caller sends fewer bytes on a flow. */
#define FLOW_BYTES_MAX (1U << 20)

enum flow_phase {
	FLOW_OPENING,
	FLOW_REQUESTING,
	FLOW_IDLE,
	FLOW_CLOSING,
	FLOW_ENDED,
};

struct caller_flow {
	struct caller_flow_options options;
	enum flow_phase phase;
	int64_t phase_started_ms;
	int64_t resend_at_ms;
	uint32_t resend_interval_ms;
	uint32_t pause_ms;
	uint32_t retry_count;
	uint32_t tag;
	uint32_t next_sequence;
	uint32_t expected_sequence;
	uint64_t request_id;
	char *request;
	char *response;
	/* One byte for each byte of the response: 1 if it was received. */
	GByteArray *received;
	uint32_t received_bytes;
	bool is_finishing;
};

static void enter_phase(struct caller_flow *flow, enum flow_phase phase,
			int64_t now_ms)
{
	flow->phase = phase;
	flow->phase_started_ms = now_ms;
	flow->resend_interval_ms = RESEND_FIRST_MS;
	flow->resend_at_ms = now_ms + flow->resend_interval_ms;
}

static void report(struct caller_flow *flow, enum flow_event_kind kind,
		   int64_t now_ms)
{
	struct flow_event event = {
		.kind = kind,
		.at_ms = now_ms,
		.started_ms = flow->phase_started_ms,
		.caller = flow->options.caller,
		.service = flow->options.service,
		.request_id = flow->request_id,
	};

	flow->options.on_event(flow->options.context, &event);
}

static void end_flow(struct caller_flow *flow, enum flow_event_kind kind,
		     int64_t now_ms)
{
	report(flow, kind, now_ms);
	flow->phase = FLOW_ENDED;
}

static void send_packet(struct caller_flow *flow, uint8_t flags,
			uint32_t sequence, const char *data)
{
	struct flow_packet packet = {
		.flags = flags,
		.source = flow->options.caller,
		.destination = flow->options.service,
		.tag = flow->tag,
		.sequence = sequence,
		.acknowledged = flow->expected_sequence,
		.data = (const uint8_t *)data,
		.data_bytes = data ? (uint16_t)strlen(data) : 0,
	};

	/* An opening packet carries its retry number in this field. */
	if (flags == FLOW_PACKET_SYN)
		packet.acknowledged = flow->retry_count;
	flow->options.send(flow->options.context, &packet);
}

static void send_request(struct caller_flow *flow)
{
	send_packet(flow, FLOW_PACKET_ACK, flow->next_sequence, flow->request);
}

/*
 * Creates a flow and sends its opening packet. Free it with caller_flow_free.
 */
struct caller_flow *caller_flow_new(const struct caller_flow_options *options,
				    int64_t now_ms)
{
	struct caller_flow *flow = g_new0(struct caller_flow, 1);

	flow->options = *options;
	flow->request_id = options->first_request_id;
	flow->next_sequence = options->first_sequence + 1;
	flow->received = g_byte_array_new();
	enter_phase(flow, FLOW_OPENING, now_ms);
	send_packet(flow, FLOW_PACKET_SYN, options->first_sequence, NULL);
	return flow;
}

/* Frees the flow without closing it. */
void caller_flow_free(struct caller_flow *flow)
{
	g_byte_array_free(flow->received, TRUE);
	g_free(flow->request);
	g_free(flow->response);
	g_free(flow);
}

static void start_request(struct caller_flow *flow, int64_t now_ms)
{
	g_free(flow->request);
	g_free(flow->response);
	flow->request = sample_http_request(flow->request_id);
	flow->response = sample_http_response(flow->request_id,
					      flow->options.service.port);
	g_byte_array_set_size(flow->received, (guint)strlen(flow->response));
	memset(flow->received->data, 0, flow->received->len);
	flow->received_bytes = 0;
	enter_phase(flow, FLOW_REQUESTING, now_ms);
	send_request(flow);
}

static void close_flow(struct caller_flow *flow, int64_t now_ms)
{
	enter_phase(flow, FLOW_CLOSING, now_ms);
	send_packet(flow, FLOW_PACKET_ACK | FLOW_PACKET_FIN,
		    flow->next_sequence, NULL);
}

static void complete_response(struct caller_flow *flow, bool is_closed_by_host,
			      int64_t now_ms)
{
	uint32_t request_bytes = (uint32_t)strlen(flow->request);

	report(flow, FLOW_EVENT_RESPONSE_COMPLETE, now_ms);
	flow->expected_sequence += flow->received_bytes;
	flow->next_sequence += request_bytes;
	flow->request_id++;
	if (is_closed_by_host) {
		close_flow(flow, now_ms);
		return;
	}
	flow->pause_ms = (uint32_t)g_rand_int_range(
		flow->options.rand, (gint32)flow->options.pause_min_ms,
		(gint32)flow->options.pause_max_ms + 1);
	enter_phase(flow, FLOW_IDLE, now_ms);
	send_packet(flow, FLOW_PACKET_ACK, flow->next_sequence, NULL);
}

/*
 * Handles a part of the response. Data that differs from the expected response
 * ends the flow.
 */
static void handle_response_data(struct caller_flow *flow,
				 const struct flow_packet *packet,
				 int64_t now_ms)
{
	uint32_t offset = packet->sequence - flow->expected_sequence;
	uint32_t length_bytes = (uint32_t)strlen(flow->response);

	if (offset > RESET_WINDOW_BYTES)
		return;
	if (offset + packet->data_bytes > length_bytes ||
	    memcmp(flow->response + offset, packet->data, packet->data_bytes) !=
		    0) {
		end_flow(flow, FLOW_EVENT_WRONG_RESPONSE, now_ms);
		return;
	}
	for (uint32_t i = 0; i < packet->data_bytes; i++) {
		flow->received_bytes += flow->received->data[offset + i] == 0;
		flow->received->data[offset + i] = 1;
	}
	if (flow->received_bytes == length_bytes)
		complete_response(flow, packet->flags & FLOW_PACKET_FIN,
				  now_ms);
}

static void handle_opening_reply(struct caller_flow *flow,
				 const struct flow_packet *packet,
				 int64_t now_ms)
{
	if (flow->phase != FLOW_OPENING ||
	    packet->acknowledged != flow->next_sequence)
		return;
	flow->expected_sequence = packet->sequence + 1;
	start_request(flow, now_ms);
}

static void handle_injected_reset(struct caller_flow *flow,
				  const struct flow_packet *packet,
				  int64_t now_ms)
{
	int32_t distance =
		(int32_t)(packet->sequence - flow->expected_sequence);

	if (flow->phase == FLOW_OPENING)
		end_flow(flow, FLOW_EVENT_OPENING_RESET, now_ms);
	else if (distance >= -RESET_WINDOW_BYTES &&
		 distance <= RESET_WINDOW_BYTES)
		end_flow(flow, FLOW_EVENT_RESET, now_ms);
}

static void handle_host_reset(struct caller_flow *flow, int64_t now_ms)
{
	if (flow->phase == FLOW_CLOSING)
		flow->phase = FLOW_ENDED;
	else
		end_flow(flow, FLOW_EVENT_HOST_RESET, now_ms);
}

/*
 * Returns whether a packet of a host belongs to an earlier flow from the same
 * port, by the other end's address and by sequence numbers.
 */
static bool is_of_earlier_flow(const struct caller_flow *flow,
			       const struct flow_packet *packet)
{
	int32_t distance =
		(int32_t)(packet->sequence - flow->expected_sequence);

	if (!endpoint_equal(&packet->source, &flow->options.service))
		return true;
	if (packet->flags & FLOW_PACKET_RST)
		return flow->phase != FLOW_OPENING &&
		       (distance < -RESET_WINDOW_BYTES ||
			distance > RESET_WINDOW_BYTES);
	return packet->acknowledged - flow->options.first_sequence >
	       FLOW_BYTES_MAX;
}

static void handle_host_packet(struct caller_flow *flow,
			       const struct flow_packet *packet, int64_t now_ms)
{
	if (is_of_earlier_flow(flow, packet))
		return;
	flow->tag = packet->tag;
	if (packet->flags & FLOW_PACKET_RST)
		handle_host_reset(flow, now_ms);
	else if (packet->flags & FLOW_PACKET_SYN)
		handle_opening_reply(flow, packet, now_ms);
	else if (flow->phase == FLOW_CLOSING && packet->flags & FLOW_PACKET_FIN)
		flow->phase = FLOW_ENDED;
	else if (flow->phase == FLOW_REQUESTING && packet->data_bytes > 0)
		handle_response_data(flow, packet, now_ms);
}

/*
 * Handles a packet addressed to the flow's caller endpoint. result is that of
 * flow_packet_read.
 */
void caller_flow_receive(struct caller_flow *flow,
			 const struct flow_packet *packet,
			 enum flow_packet_result result, int64_t now_ms)
{
	if (flow->phase == FLOW_ENDED)
		return;
	switch (result) {
	case FLOW_PACKET_VALID:
		handle_host_packet(flow, packet, now_ms);
		return;
	case FLOW_PACKET_INJECTED_RESET:
		handle_injected_reset(flow, packet, now_ms);
		return;
	case FLOW_PACKET_MALFORMED:
	case FLOW_PACKET_CORRUPT:
		report(flow, FLOW_EVENT_CALLER_RECEIVED_CORRUPT_PACKET, now_ms);
		return;
	}
}

static void tick_opening(struct caller_flow *flow, int64_t age_ms,
			 int64_t now_ms)
{
	static const int64_t retry_ages_ms[OPENING_RETRY_COUNT] = {
		OPENING_RETRY_1_MS, OPENING_RETRY_2_MS};

	if (age_ms >= OPENING_TIMEOUT_MS) {
		end_flow(flow, FLOW_EVENT_OPENING_UNANSWERED, now_ms);
		return;
	}
	if (flow->retry_count == OPENING_RETRY_COUNT ||
	    age_ms < retry_ages_ms[flow->retry_count])
		return;
	flow->retry_count++;
	send_packet(flow, FLOW_PACKET_SYN, flow->options.first_sequence, NULL);
}

static void tick_requesting(struct caller_flow *flow, int64_t age_ms,
			    int64_t now_ms)
{
	if (age_ms >= REQUEST_TIMEOUT_MS) {
		end_flow(flow, FLOW_EVENT_REQUEST_TIMED_OUT, now_ms);
		return;
	}
	if (now_ms < flow->resend_at_ms)
		return;
	flow->resend_interval_ms =
		MIN(flow->resend_interval_ms * 2, RESEND_MAX_MS);
	flow->resend_at_ms = now_ms + flow->resend_interval_ms;
	send_request(flow);
}

static void tick_idle(struct caller_flow *flow, int64_t age_ms, int64_t now_ms)
{
	if (flow->is_finishing || now_ms >= flow->options.end_ms)
		close_flow(flow, now_ms);
	else if (age_ms >= flow->pause_ms)
		start_request(flow, now_ms);
}

static void tick_closing(struct caller_flow *flow, int64_t age_ms,
			 int64_t now_ms)
{
	if (age_ms >= CLOSING_TIMEOUT_MS) {
		flow->phase = FLOW_ENDED;
		return;
	}
	if (now_ms < flow->resend_at_ms)
		return;
	flow->resend_at_ms = now_ms + RESEND_FIRST_MS;
	send_packet(flow, FLOW_PACKET_ACK | FLOW_PACKET_FIN,
		    flow->next_sequence, NULL);
}

/* Handles the timeouts, resends and pauses that are due. */
void caller_flow_tick(struct caller_flow *flow, int64_t now_ms)
{
	int64_t age_ms = now_ms - flow->phase_started_ms;

	switch (flow->phase) {
	case FLOW_OPENING:
		tick_opening(flow, age_ms, now_ms);
		return;
	case FLOW_REQUESTING:
		tick_requesting(flow, age_ms, now_ms);
		return;
	case FLOW_IDLE:
		tick_idle(flow, age_ms, now_ms);
		return;
	case FLOW_CLOSING:
		tick_closing(flow, age_ms, now_ms);
		return;
	case FLOW_ENDED:
		return;
	}
}

/* Makes the flow close after its next response. */
void caller_flow_finish(struct caller_flow *flow)
{
	flow->is_finishing = true;
}

/* Returns whether the flow has ended, normally or by a failure. */
bool caller_flow_has_ended(const struct caller_flow *flow)
{
	return flow->phase == FLOW_ENDED;
}
