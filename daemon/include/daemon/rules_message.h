#ifndef DAEMON_RULES_MESSAGE_H
#define DAEMON_RULES_MESSAGE_H

#include <core/rule_set.h>
#include <task/message.h>

/* The rules in force; rules_message_take removes them from the message. */
struct rules_message {
	struct message message;
	struct rule_set *rules;
};

extern const struct message_type rules_message_type;

struct message *rules_message_new(const struct rule_set *rules);
struct rule_set *rules_message_take(struct message *message);

#endif
