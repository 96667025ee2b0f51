#ifndef DAEMON_ROSTER_MESSAGE_H
#define DAEMON_ROSTER_MESSAGE_H

#include <core/roster.h>
#include <task/message.h>

/* The newest roster, which the config task posts to the claims task. */
struct roster_message {
	struct message message;
	struct roster roster;
};

extern const struct message_type roster_message_type;

struct message *roster_message_new(const struct roster *roster);

#endif
