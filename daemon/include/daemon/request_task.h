#ifndef DAEMON_REQUEST_TASK_H
#define DAEMON_REQUEST_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/* Runs the HTTP frontend, which forwards callers' requests to targets. */
struct request_task;

struct request_task_options {
	const struct settings *settings;
	/* Claims idempotency keys; if NULL, the result is CLAIM_UNKNOWN. */
	struct task *claims;
};

struct request_task *
request_task_new(const struct request_task_options *options, GError **error);
void request_task_free(struct request_task *request_task);
struct task *request_task_task(struct request_task *request_task);

#endif
