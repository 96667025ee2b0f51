#ifndef DAEMON_CONTROL_MESSAGE_H
#define DAEMON_CONTROL_MESSAGE_H

#include <core/node.h>
#include <task/message.h>

/*
 * The encoded body of one message between nodes. With type control_out_type
 * another task posts it to the control task, which sends it to node_id. With
 * type control_in_type the control task has received and authenticated it from
 * node_id, and posts it to the task registered for its procedure range.
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
