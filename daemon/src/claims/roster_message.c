#include <daemon/roster_message.h>

#include <glib.h>

static void roster_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type roster_message_type = {"roster", roster_message_free};

/*
 * Creates a message with a copy of the roster. Free it with message_free, or
 * post it.
 */
struct message *roster_message_new(const struct roster *roster)
{
	struct roster_message *message = g_new0(struct roster_message, 1);

	message->message.type = &roster_message_type;
	message->roster = *roster;
	return &message->message;
}
