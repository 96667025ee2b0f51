#ifndef DAEMON_STRANGER_MESSAGE_H
#define DAEMON_STRANGER_MESSAGE_H

#include <core/endpoint.h>
#include <task/task.h>

/*
 * Tells the feed of a node that knows nothing yet that another node has sent
 * it a message: one that knows this node, and so more than it does.
 */
struct stranger_message {
	struct message message;
	struct endpoint endpoint;
};

extern const struct message_type stranger_message_type;

void stranger_message_post(struct task *task, const struct endpoint *endpoint);

#endif
