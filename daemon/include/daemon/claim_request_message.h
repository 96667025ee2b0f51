#ifndef DAEMON_CLAIM_REQUEST_MESSAGE_H
#define DAEMON_CLAIM_REQUEST_MESSAGE_H

#include <core/request_info.h>
#include <task/task.h>

/* What the request task wants done with a request's idempotency key. */
enum claim_action {
	/* Ask whether the request may run; a claim_reply_message follows. */
	CLAIM_ACTION_ASK,
	/* The request did not run: give its claim back. */
	CLAIM_ACTION_RELEASE,
	/* The request ran, or may have: its claim stays. */
	CLAIM_ACTION_SETTLE,
};

/*
 * Posted to the claims task. Its mailbox may be full: then an ask counts as
 * answered with CLAIM_UNKNOWN, and the other two are dropped, which leaves
 * the claim taken until its lifetime ends.
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
