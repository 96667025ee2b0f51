#include "outgoing_message.h"

#include <glib.h>
#include <wire/rpc_codec.h>

/* An IPv4 header of 20 bytes and a UDP header of 8. */
#define IPV4_UDP_HEADER_BYTES 28

/* Copies the message body. Free the result with outgoing_message_free. */
struct outgoing_message *outgoing_message_new(const struct endpoint *to,
					      const struct rpc_message *message)
{
	struct outgoing_message *outgoing = g_new0(struct outgoing_message, 1);

	outgoing->to = *to;
	outgoing->message = *message;
	outgoing->body = g_memdup2(message->body, message->length_bytes);
	outgoing->message.body = outgoing->body;
	return outgoing;
}

/* Frees an outgoing message; NULL is allowed. */
void outgoing_message_free(struct outgoing_message *outgoing)
{
	if (!outgoing)
		return;
	g_free(outgoing->body);
	g_free(outgoing);
}

/* Returns the size on the network, RPC, IP and UDP headers included. */
uint32_t outgoing_message_wire_bytes(const struct outgoing_message *outgoing)
{
	return outgoing->message.length_bytes + RPC_HEADER_BYTES +
	       IPV4_UDP_HEADER_BYTES;
}
