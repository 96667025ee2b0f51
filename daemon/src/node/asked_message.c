#include <daemon/asked_message.h>

#include <glib.h>

static void asked_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type asked_message_type = {"asked", asked_message_free};

/* Creates the message; the mailbox that accepts it takes ownership. */
struct message *asked_message_new(void)
{
	struct message *message = g_new0(struct message, 1);

	message->type = &asked_message_type;
	return message;
}
