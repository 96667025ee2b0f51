#ifndef DAEMON_CLAIM_REQUEST_MESSAGE_H
#define DAEMON_CLAIM_REQUEST_MESSAGE_H

#include <core/request_info.h>
#include <task/task.h>

/* An operation on the claim of a request's idempotency key. */
enum claim_action {
	/* Claim the key; a claim_reply_message brings the result. */
	CLAIM_ACTION_CLAIM,
	/* Release the claim: the request did not run. */
	CLAIM_ACTION_RELEASE,
	/* Keep the claim: the request ran, or may have run. */
	CLAIM_ACTION_SETTLE,
};

/*
 * Posted to the claims task by the request task. If the mailbox is full, the
 * request task treats the claim as CLAIM_UNKNOWN. A lost message of another
 * action has no effect: the claim stays until its lifetime ends.
 */
struct claim_request_message {
	struct message message;
	enum claim_action action;
	uint64_t request_id;
	struct hash128 key;
	struct task *reply_to;
};

extern const struct message_type claim_request_message_type;

struct message *claim_request_message_new(enum claim_action action,
					  const struct request_info *info,
					  struct task *reply_to);

#endif
