#ifndef TASK_MESSAGE_H
#define TASK_MESSAGE_H

#include <stdint.h>

struct message;

/*
 * The type of a message; every message starts with a struct message. The
 * mailbox owns a message from the moment it takes it until the handler does.
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
