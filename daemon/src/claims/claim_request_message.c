#include <daemon/claim_request_message.h>

static void claim_request_message_free(struct message *message)
{
	g_free(message);
}

const struct message_type claim_request_message_type = {
	"claim_request", claim_request_message_free};

/*
 * Creates the message. Free it with message_free, or post it. reply_to must
 * outlive the claims task.
 */
struct message *claim_request_message_new(enum claim_action action,
					  const struct request_info *info,
					  struct task *reply_to)
{
	struct claim_request_message *request =
		g_new0(struct claim_request_message, 1);

	request->message.type = &claim_request_message_type;
	request->action = action;
	request->request_id = info->request_id;
	request->key = info->idempotency_key_hash;
	request->reply_to = reply_to;
	return &request->message;
}
