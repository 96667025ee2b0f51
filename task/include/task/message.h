#ifndef TASK_MESSAGE_H
#define TASK_MESSAGE_H

#include <stdint.h>

struct message;

/*
 * The type of a message. Every message structure starts with a struct message.
 * A mailbox owns the messages that it has accepted until they are passed to the
 * handler.
 */
struct message_type {
	const char *name;
	void (*free)(struct message *message);
};

struct message {
	const struct message_type *type;
	struct message *next;
};

void message_free(struct message *message);

#endif
