#ifndef DAEMON_CONTROL_MESSAGE_H
#define DAEMON_CONTROL_MESSAGE_H

#include <core/node.h>
#include <task/message.h>

/*
 * The body of one message between nodes, already encoded. Posted to the
 * control task it goes out to node_id; posted by the control task it came in,
 * authenticated, from node_id.
 */
struct control_message {
	struct message message;
	uint64_t node_id;
	uint32_t procedure;
	uint32_t length_bytes;
	uint8_t *bytes;
};

extern const struct message_type control_out_type;
extern const struct message_type control_in_type;

struct message *control_message_new(const struct message_type *type,
				    uint64_t node_id, uint32_t procedure,
				    const uint8_t *bytes,
				    uint32_t length_bytes);

#endif
