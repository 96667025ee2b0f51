#ifndef DAEMON_UNKNOWN_PEER_MESSAGE_H
#define DAEMON_UNKNOWN_PEER_MESSAGE_H

#include <core/endpoint.h>
#include <task/task.h>

/*
 * Reports to the feed task that a node which is not in this node's list of
 * peers has sent a message. Until this node has read the store, it can read
 * from that node, as one that knows this node has read the store already.
 */
struct unknown_peer_message {
	struct message message;
	struct endpoint endpoint;
};

extern const struct message_type unknown_peer_message_type;

void unknown_peer_message_post(struct task *task,
			       const struct endpoint *endpoint);

#endif
