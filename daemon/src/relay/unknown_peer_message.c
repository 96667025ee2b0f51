#include <daemon/unknown_peer_message.h>

#include <glib.h>

static void unknown_peer_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type unknown_peer_message_type = {
	"stranger", unknown_peer_message_free};

/*
 * Posts the message, or drops it if the mailbox is full; the peer's next
 * message causes another one.
 */
void unknown_peer_message_post(struct task *task,
			       const struct endpoint *endpoint)
{
	struct unknown_peer_message *unknown_peer =
		g_new0(struct unknown_peer_message, 1);

	unknown_peer->message.type = &unknown_peer_message_type;
	unknown_peer->endpoint = *endpoint;
	task_post_or_free(task, &unknown_peer->message);
}
