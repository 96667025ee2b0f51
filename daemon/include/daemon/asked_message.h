#ifndef DAEMON_ASKED_MESSAGE_H
#define DAEMON_ASKED_MESSAGE_H

#include <task/message.h>

/* Tells a task that someone was told that this node is ready. */
extern const struct message_type asked_message_type;

struct message *asked_message_new(void);

#endif
