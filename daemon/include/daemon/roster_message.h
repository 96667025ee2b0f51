#ifndef DAEMON_ROSTER_MESSAGE_H
#define DAEMON_ROSTER_MESSAGE_H

#include <core/roster.h>
#include <task/message.h>

/* The roster of the highest epoch, posted to the claims task by the config
 * task. */
struct roster_message {
	struct message message;
	struct roster roster;
};

extern const struct message_type roster_message_type;

struct message *roster_message_new(const struct roster *roster);

#endif
