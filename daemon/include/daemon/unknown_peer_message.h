#ifndef DAEMON_UNKNOWN_PEER_MESSAGE_H
#define DAEMON_UNKNOWN_PEER_MESSAGE_H

#include <core/endpoint.h>
#include <task/task.h>

/*
 * Reports to the feed task that a node which is not in this node's list of
 * peers has sent a message. The sender has found this node in the store, so it
 * has a copy of the store, and this node can read from it until it has a copy
 * of its own.
 */
struct unknown_peer_message {
	struct message message;
	struct endpoint endpoint;
};

extern const struct message_type unknown_peer_message_type;

void unknown_peer_message_post(struct task *task,
			       const struct endpoint *endpoint);

#endif
