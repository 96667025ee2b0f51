#include <daemon/target_state_message.h>

#include <glib.h>

static void target_state_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type target_state_message_type = {
	"target_state", target_state_message_free};

/* Creates the message; the mailbox that accepts it takes ownership. */
struct message *target_state_message_new(uint64_t target_id,
					 enum target_state state)
{
	struct target_state_message *message =
		g_new0(struct target_state_message, 1);

	message->message.type = &target_state_message_type;
	message->target_id = target_id;
	message->state = state;
	return &message->message;
}
