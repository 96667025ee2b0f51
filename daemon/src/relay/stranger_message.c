#include <daemon/stranger_message.h>

#include <glib.h>

static void stranger_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type stranger_message_type = {"stranger",
						   stranger_message_free};

/* Makes the message; the mailbox that takes it owns it. */
struct message *stranger_message_new(const struct endpoint *endpoint)
{
	struct stranger_message *stranger = g_new0(struct stranger_message, 1);

	stranger->message.type = &stranger_message_type;
	stranger->endpoint = *endpoint;
	return &stranger->message;
}
