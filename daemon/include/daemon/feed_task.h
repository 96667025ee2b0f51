#ifndef DAEMON_FEED_TASK_H
#define DAEMON_FEED_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * Reads and watches the store, directly or through another node, serves a copy
 * of it to other nodes, and posts a store_update_message to the task `sink` for
 * each snapshot and for each set of changes.
 */
struct feed_task;

struct feed_task_options {
	const struct settings *settings;
	struct task *sink;
};

struct feed_task *feed_task_new(const struct feed_task_options *options,
				GError **error);
void feed_task_free(struct feed_task *feed);
struct task *feed_task_task(struct feed_task *feed);

#endif
