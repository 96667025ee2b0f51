#include <daemon/ready_message.h>

#include <glib.h>

static void ready_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type ready_message_type = {"ready", ready_message_free};

/* Creates the message; the mailbox that accepts it takes ownership. */
struct message *ready_message_new(bool is_ready)
{
	struct ready_message *ready = g_new0(struct ready_message, 1);

	ready->message.type = &ready_message_type;
	ready->is_ready = is_ready;
	return &ready->message;
}

/* Creates the message of a node that reaches no target for new flows. */
struct message *ready_message_new_isolated(void)
{
	struct message *message = ready_message_new(false);

	((struct ready_message *)message)->is_isolated = true;
	return message;
}
