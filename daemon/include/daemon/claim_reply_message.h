#ifndef DAEMON_CLAIM_REPLY_MESSAGE_H
#define DAEMON_CLAIM_REPLY_MESSAGE_H

#include <core/request_director.h>
#include <task/message.h>

/* The result of a claim, posted to the task that made the claim. */
struct claim_reply_message {
	struct message message;
	uint64_t request_id;
	enum claim_result result;
};

extern const struct message_type claim_reply_message_type;

struct message *claim_reply_message_new(uint64_t request_id,
					enum claim_result result);

#endif
