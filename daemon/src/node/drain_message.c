#include <daemon/drain_message.h>

static void drain_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type drain_message_type = {"drain", drain_message_free};
const struct message_type drained_message_type = {"drained",
						  drain_message_free};

/* Creates a drain request; the mailbox that accepts it takes ownership. */
struct message *drain_message_new(struct task *reply_to)
{
	struct drain_message *drain = g_new0(struct drain_message, 1);

	drain->message.type = &drain_message_type;
	drain->reply_to = reply_to;
	return &drain->message;
}

/* Creates the reply; the mailbox that accepts it takes ownership. */
struct message *drained_message_new(struct task *from)
{
	struct drained_message *drained = g_new0(struct drained_message, 1);

	drained->message.type = &drained_message_type;
	drained->from = from;
	return &drained->message;
}
