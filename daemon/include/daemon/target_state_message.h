#ifndef DAEMON_TARGET_STATE_MESSAGE_H
#define DAEMON_TARGET_STATE_MESSAGE_H

#include <core/target.h>
#include <task/message.h>

/* Reports a target's state, as read from the store or a health probe. */
struct target_state_message {
	struct message message;
	uint64_t target_id;
	enum target_state state;
};

extern const struct message_type target_state_message_type;

struct message *target_state_message_new(uint64_t target_id,
					 enum target_state state);

#endif
