#ifndef DAEMON_ADMIN_TASK_H
#define DAEMON_ADMIN_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * Serves /metrics, /healthz and /readyz over HTTP on listen.admin and, if set,
 * listen.metrics. asked_sink, if not NULL, gets an asked_message when someone
 * is told that the node is ready.
 */
struct admin_task;

struct admin_task_options {
	const struct settings *settings;
	struct task *const *metrics_sources;
	uint32_t metrics_source_count;
	struct task *asked_sink;
};

struct admin_task *admin_task_new(const struct admin_task_options *options,
				  GError **error);
void admin_task_free(struct admin_task *admin);
struct task *admin_task_task(struct admin_task *admin);

#endif
