#ifndef DAEMON_CLAIMS_TASK_H
#define DAEMON_CLAIMS_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * Owns this node's part of the fleet's claims on idempotency keys. It takes
 * roster_message, claim_request_message and control_in_type messages of the
 * procedures from PROCEDURE_CLAIMS_FIRST, and posts control_out_type messages
 * to the control task.
 */
struct claims_task;

struct claims_options {
	const struct settings *settings;
	uint64_t node_id;
	struct task *control;
};

struct claims_task *claims_task_new(const struct claims_options *options,
				    GError **error);
void claims_task_free(struct claims_task *claims);
struct task *claims_task_task(struct claims_task *claims);

#endif
