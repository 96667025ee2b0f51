#ifndef OUTGOING_MESSAGE_H
#define OUTGOING_MESSAGE_H

#include <core/endpoint.h>
#include <wire/rpc_message.h>

/*
 * A queued message and its destination. It gets its sequence number, time and
 * signature only when it is sent.
 */
struct outgoing_message {
	struct endpoint to;
	struct rpc_message message;
	uint8_t *body;
};

struct outgoing_message *
outgoing_message_new(const struct endpoint *to,
		     const struct rpc_message *message);
void outgoing_message_free(struct outgoing_message *outgoing);
uint32_t outgoing_message_wire_bytes(const struct outgoing_message *outgoing);

#endif
