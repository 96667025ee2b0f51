#ifndef DAEMON_DRAIN_MESSAGE_H
#define DAEMON_DRAIN_MESSAGE_H

#include <task/task.h>

/*
 * Asks a task to accept no new work, to finish or hand over its work in
 * progress, and then to post a drained_message to reply_to.
 */
struct drain_message {
	struct message message;
	struct task *reply_to;
};

/* Reports that a task, from, has no work in progress left. */
struct drained_message {
	struct message message;
	struct task *from;
};

extern const struct message_type drain_message_type;
extern const struct message_type drained_message_type;

struct message *drain_message_new(struct task *reply_to);
struct message *drained_message_new(struct task *from);

#endif
