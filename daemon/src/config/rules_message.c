#include <daemon/rules_message.h>

static void rules_message_free(struct message *message)
{
	struct rules_message *rules = (struct rules_message *)message;

	rule_set_free(rules->rules);
	g_free(rules);
}

const struct message_type rules_message_type = {"rules", rules_message_free};

/*
 * Creates a message with a copy of the rules. Free it with message_free, or
 * post it.
 */
struct message *rules_message_new(const struct rule_set *rules)
{
	struct rules_message *message = g_new0(struct rules_message, 1);

	message->message.type = &rules_message_type;
	message->rules = rule_set_copy(rules);
	return &message->message;
}

/*
 * Removes the rules from the message and returns them. Free them with
 * rule_set_free, and the message with message_free.
 */
struct rule_set *rules_message_take(struct message *message)
{
	struct rules_message *rules = (struct rules_message *)message;

	return g_steal_pointer(&rules->rules);
}
