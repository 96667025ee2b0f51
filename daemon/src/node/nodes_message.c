#include <daemon/nodes_message.h>

#include <glib.h>

static void nodes_message_free(struct message *message)
{
	struct nodes_message *nodes = (struct nodes_message *)message;

	node_view_free(nodes->view);
	g_free(nodes);
}

const struct message_type nodes_message_type = {"nodes", nodes_message_free};

/* Creates a message that owns a copy of the view. */
struct message *nodes_message_new(const struct node_view *view)
{
	struct nodes_message *message = g_new0(struct nodes_message, 1);

	message->message.type = &nodes_message_type;
	message->view = node_view_copy(view);
	return &message->message;
}

/*
 * Moves the view out of the message, which must still be freed. Free the view
 * with node_view_free.
 */
struct node_view *nodes_message_take(struct message *message)
{
	struct nodes_message *nodes = (struct nodes_message *)message;

	return g_steal_pointer(&nodes->view);
}
