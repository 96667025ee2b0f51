#include <daemon/control_message.h>

#include <glib.h>

static void control_message_free(struct message *message)
{
	struct control_message *control = (struct control_message *)message;

	g_free(control->bytes);
	g_free(control);
}

const struct message_type control_out_type = {"control_out",
					      control_message_free};
const struct message_type control_in_type = {"control_in",
					     control_message_free};

/*
 * Creates a message with a copy of the bytes; the mailbox that accepts it takes
 * ownership.
 */
struct message *control_message_new(const struct message_type *type,
				    uint64_t node_id, uint32_t procedure,
				    const uint8_t *bytes, uint32_t length_bytes)
{
	struct control_message *control = g_new0(struct control_message, 1);

	control->message.type = type;
	control->node_id = node_id;
	control->procedure = procedure;
	control->length_bytes = length_bytes;
	control->bytes = g_memdup2(bytes, length_bytes);
	return &control->message;
}
