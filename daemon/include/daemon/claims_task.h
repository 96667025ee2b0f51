#ifndef DAEMON_CLAIMS_TASK_H
#define DAEMON_CLAIMS_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * Owns this node's share of the claims on idempotency keys. It handles
 * roster_message, claim_request_message and messages of control_in_type whose
 * procedures start at PROCEDURE_CLAIMS_FIRST, and it posts messages of
 * control_out_type to the control task.
 */
struct claims_task;

/* control sends messages to other nodes; NULL for a node without peers. */
struct claims_task_options {
	const struct settings *settings;
	uint64_t node_id;
	struct task *control;
};

struct claims_task *claims_task_new(const struct claims_task_options *options,
				    GError **error);
void claims_task_free(struct claims_task *claims);
struct task *claims_task_task(struct claims_task *claims);

#endif
