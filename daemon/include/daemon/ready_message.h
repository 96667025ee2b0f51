#ifndef DAEMON_READY_MESSAGE_H
#define DAEMON_READY_MESSAGE_H

#include <stdbool.h>
#include <task/message.h>

/*
 * Tells the admin task whether this node accepts new work, and the control task
 * whether a joining node may serve: it must first learn the flows that it takes
 * over. is_isolated: the node is not ready as it reaches no target that may
 * take new flows.
 */
struct ready_message {
	struct message message;
	bool is_ready;
	bool is_isolated;
};

extern const struct message_type ready_message_type;

struct message *ready_message_new(bool is_ready);
struct message *ready_message_new_isolated(void);

#endif
