#ifndef DAEMON_TARGET_STATE_MESSAGE_H
#define DAEMON_TARGET_STATE_MESSAGE_H

#include <core/target.h>
#include <task/message.h>

/* Reports the state of a target to a task that forwards to it. */
struct target_state_message {
	struct message message;
	uint64_t target_id;
	enum target_state state;
};

extern const struct message_type target_state_message_type;

struct message *target_state_message_new(uint64_t target_id,
					 enum target_state state);

#endif
