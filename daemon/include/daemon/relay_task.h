#ifndef DAEMON_RELAY_TASK_H
#define DAEMON_RELAY_TASK_H

#include <daemon/settings.h>
#include <task/task.h>

/*
 * The packet frontend of a node that forwards by tag. It owns the packet
 * socket and the socket to other nodes, handles store_update_message, and
 * reports to the admin task whether it is ready.
 */
struct relay_task;

struct relay_task *relay_task_new(const struct settings *settings,
				  GError **error);
void relay_task_free(struct relay_task *relay);
void relay_task_connect(struct relay_task *relay, struct task *admin,
			struct task *feed);
struct task *relay_task_task(struct relay_task *relay);

#endif
