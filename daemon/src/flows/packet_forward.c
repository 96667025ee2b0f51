#include "packet_task_state.h"

#include <daemon/control_message.h>
#include <inttypes.h>
#include <string.h>
#include <wire/flow_codec.h>

static void count(struct packet_task *packet_task, uint32_t row)
{
	counter_set_add(packet_counters_set(packet_task->counters), row, 1);
}

/*
 * Callback of the director: sends a message to another node. If the control
 * task's mailbox is full, the message is dropped; the director resends it.
 */
void packet_forward_send_message(void *context, uint64_t to_node_id,
				 const struct flow_message *message)
{
	struct packet_task *packet_task = context;
	GByteArray *body;
	struct message *out;

	if (!packet_task->control)
		return;
	body = flow_codec_encode(message, NULL);
	if (!body)
		return;
	out = control_message_new(&control_out_type, to_node_id,
				  flow_codec_procedure(), body->data,
				  body->len);
	g_byte_array_free(body, TRUE);
	if (task_post(packet_task->control, out) == POST_ACCEPTED)
		return;
	message_free(out);
	count(packet_task, FLOW_MESSAGES_NOT_POSTED);
}

static void log_placement(struct packet_task *packet_task,
			  const struct placement *placement)
{
	char text[ENDPOINT_TEXT_BYTES];

	if (placement->kind == PLACE_TO_NODE)
		log_write(packet_task->log, LOG_LEVEL_INFO, "placement",
			  "service=%08" PRIx32 " node=%016" PRIx64 " reason=%s",
			  placement->service_id, placement->node_id,
			  reason_name(placement->reason));
	else
		log_write(packet_task->log, LOG_LEVEL_INFO, "placement",
			  "service=%08" PRIx32 " target=%s reason=%s",
			  placement->service_id,
			  placement->kind == PLACE_TO_TARGET
				  ? endpoint_format(&placement->endpoint, text)
				  : "none",
			  reason_name(placement->reason));
}

/* Returns false for packets that follow an earlier decision on their flow. */
static bool is_new_decision(const struct packet_event *event,
			    const struct placement *placement)
{
	return event->kind == PACKET_FIRST || placement->kind == PLACE_DROP ||
	       (placement->reason != REASON_RECORD &&
		placement->reason != REASON_TO_HOME);
}

static bool send_to_node(struct packet_task *packet_task,
			 const struct packet_event *event, uint64_t node_id,
			 const uint8_t *bytes, uint32_t length_bytes)
{
	const struct node *node = node_view_find(packet_task->view, node_id);
	struct forward_header header = {
		.hop_count = event->hop_count + 1,
		.from_node_id = packet_task->node_id,
	};

	if (!node || length_bytes > PACKET_BYTES_MAX)
		return false;
	forward_header_write(packet_task->forward_buffer, &header);
	memcpy(packet_task->forward_buffer + FORWARD_HEADER_BYTES, bytes,
	       length_bytes);
	return udp_socket_send(packet_task->socket, &node->packets,
			       packet_task->forward_buffer,
			       FORWARD_HEADER_BYTES + length_bytes);
}

static void apply_placement(struct packet_task *packet_task,
			    const struct packet_event *event,
			    const struct placement *placement,
			    const uint8_t *bytes, uint32_t length_bytes)
{
	bool is_sent;

	if (placement->kind == PLACE_DROP) {
		count(packet_task, PACKETS_DROPPED + placement->reason);
		return;
	}
	count(packet_task, PACKETS_PLACED + placement->reason);
	if (placement->kind == PLACE_TO_NODE) {
		is_sent = send_to_node(packet_task, event, placement->node_id,
				       bytes, length_bytes);
		count(packet_task,
		      is_sent ? PACKETS_TO_NODES : PACKETS_NOT_SENT);
		return;
	}
	is_sent = udp_socket_send(packet_task->socket, &placement->endpoint,
				  bytes, length_bytes);
	count(packet_task, is_sent ? PACKETS_FORWARDED : PACKETS_NOT_SENT);
}

/* Accepts a header only if it comes from the address of the node it names. */
static bool read_header(struct packet_task *packet_task,
			struct forward_header *header,
			const struct endpoint *from, const uint8_t *bytes,
			uint32_t length_bytes)
{
	const struct node *node;

	if (!packet_task->view ||
	    !forward_header_read(header, bytes, length_bytes))
		return false;
	node = node_view_find(packet_task->view, header->from_node_id);
	return node && endpoint_equal(&node->packets, from);
}

/*
 * Handles a packet from the socket: decodes it, selects the target or node to
 * send it to, and sends it.
 */
void packet_forward_receive(void *context, const struct endpoint *from,
			    const uint8_t *bytes, uint32_t length_bytes)
{
	struct packet_task *packet_task = context;
	struct forward_header header = {.hop_count = 0};
	struct packet_event event;
	struct placement placement;

	count(packet_task, PACKETS_RECEIVED);
	if (forward_header_is_present(bytes, length_bytes)) {
		if (!read_header(packet_task, &header, from, bytes,
				 length_bytes)) {
			count(packet_task, PACKETS_STRAY);
			return;
		}
		count(packet_task, PACKETS_FROM_NODES);
	}
	bytes += header.length_bytes;
	length_bytes -= header.length_bytes;
	if (!packet_parse(&event, bytes, length_bytes)) {
		count(packet_task, PACKETS_DROPPED + REASON_MALFORMED);
		return;
	}
	event.hop_count = header.hop_count;
	event.from_node_id = header.from_node_id;
	placement = flow_director_place_packet(packet_task->director, &event,
					       task_now_ms());
	if (is_new_decision(&event, &placement))
		log_placement(packet_task, &placement);
	apply_placement(packet_task, &event, &placement, bytes, length_bytes);
}
