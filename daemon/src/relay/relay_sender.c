#include "relay_sender.h"

#include "relay_counters.h"

#include <platform/echo_packet.h>
#include <string.h>

#define RECEIVE_BUFFER_BYTES (4 * 1024 * 1024)

struct relay_sender {
	struct relay_sender_options options;
	struct udp_socket *socket;
	uint8_t buffer[ECHO_TARGET_ID_BYTES + ECHO_PACKET_BYTES_MAX];
};

/*
 * Opens the packet socket in the task. Free the sender with relay_sender_free.
 * Fails with TASK_ERROR.
 */
struct relay_sender *
relay_sender_new(struct task *task, const struct relay_sender_options *options,
		 GError **error)
{
	struct relay_sender *sender = g_new0(struct relay_sender, 1);
	struct udp_socket_options socket = {
		.listen = options->listen,
		.buffer_bytes = RECEIVE_BUFFER_BYTES,
		.context = options->context,
		.receive = options->receive,
		.emptied = options->emptied,
	};

	sender->options = *options;
	sender->socket = udp_socket_new(task, &socket, error);
	if (sender->socket)
		return sender;
	relay_sender_free(sender);
	return NULL;
}

/* Closes the socket and frees the sender; NULL is allowed. */
void relay_sender_free(struct relay_sender *sender)
{
	if (!sender)
		return;
	udp_socket_free(sender->socket);
	g_free(sender);
}

static void send_packet(struct relay_sender *sender, const struct endpoint *to,
			const uint8_t *bytes, uint32_t length_bytes)
{
	if (!udp_socket_send(sender->socket, to, bytes, length_bytes))
		counter_set_add(sender->options.counters,
				RELAY_PACKETS_NOT_SENT, 1);
}

/* Sends a packet to the verdict's target, preceded by the target's id. */
void relay_sender_forward(struct relay_sender *sender,
			  const struct relay_verdict *verdict,
			  const uint8_t *bytes, uint32_t length_bytes)
{
	uint8_t *packet = sender->buffer + ECHO_TARGET_ID_BYTES;

	echo_packet_write_target_id(sender->buffer, verdict->target_id);
	memcpy(packet, bytes, length_bytes);
	echo_packet_set_tag(packet, verdict->tag);
	send_packet(sender, &verdict->endpoint, sender->buffer,
		    ECHO_TARGET_ID_BYTES + length_bytes);
}

/*
 * Returns how many milliseconds ago the packet that is being received arrived,
 * or UDP_AGE_UNKNOWN.
 */
int64_t relay_sender_packet_age_ms(const struct relay_sender *sender)
{
	return udp_socket_age_ms(sender->socket);
}

/*
 * Sends a reset to the caller of a packet. Callers receive on the same port
 * number that the node listens on.
 */
void relay_sender_reset(struct relay_sender *sender,
			const struct relay_packet *packet)
{
	uint8_t bytes[ECHO_PACKET_HEADER_BYTES];
	struct endpoint to = {.addr = packet->caller.addr,
			      .port = sender->options.listen.port};

	echo_packet_write_reset(bytes, packet);
	send_packet(sender, &to, bytes, sizeof(bytes));
}
