#include <daemon/claim_reply_message.h>

#include <glib.h>

static void claim_reply_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type claim_reply_message_type = {"claim_reply",
						      claim_reply_message_free};

/* Creates the message. Free it with message_free, or post it. */
struct message *claim_reply_message_new(uint64_t request_id,
					enum claim_result result)
{
	struct claim_reply_message *reply =
		g_new0(struct claim_reply_message, 1);

	reply->message.type = &claim_reply_message_type;
	reply->request_id = request_id;
	reply->result = result;
	return &reply->message;
}
