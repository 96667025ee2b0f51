#ifndef DAEMON_NODES_MESSAGE_H
#define DAEMON_NODES_MESSAGE_H

#include <core/node_view.h>
#include <task/message.h>

/*
 * This node's current view of the nodes. nodes_message_take removes it from the
 * message.
 */
struct nodes_message {
	struct message message;
	struct node_view *view;
};

extern const struct message_type nodes_message_type;

struct message *nodes_message_new(const struct node_view *view);
struct node_view *nodes_message_take(struct message *message);

#endif
