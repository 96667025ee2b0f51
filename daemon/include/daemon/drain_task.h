#ifndef DAEMON_DRAIN_TASK_H
#define DAEMON_DRAIN_TASK_H

#include <task/task.h>

/*
 * Coordinates the drain of a node: asks tasks to drain and waits for their
 * replies or the timeout. Calls on_done once, in the thread of this task,
 * with is_drained false after a timeout.
 */
struct drain_task;

struct drain_task_options {
	struct task *const *tasks;
	uint32_t task_count;
	uint32_t timeout_ms;
	void *context;
	void (*on_done)(void *context, bool is_drained);
};

struct drain_task *drain_task_new(const struct drain_task_options *options,
				  GError **error);
void drain_task_free(struct drain_task *drain);

#endif
