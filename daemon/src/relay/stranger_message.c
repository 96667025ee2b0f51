#include <daemon/stranger_message.h>

#include <glib.h>

static void stranger_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type stranger_message_type = {"stranger",
						   stranger_message_free};

/* Posts the message; one that finds no room is lost, and another follows. */
void stranger_message_post(struct task *task, const struct endpoint *endpoint)
{
	struct stranger_message *stranger = g_new0(struct stranger_message, 1);

	stranger->message.type = &stranger_message_type;
	stranger->endpoint = *endpoint;
	task_post_or_free(task, &stranger->message);
}
