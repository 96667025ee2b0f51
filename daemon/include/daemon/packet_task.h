#ifndef DAEMON_PACKET_TASK_H
#define DAEMON_PACKET_TASK_H

#include <daemon/settings.h>
#include <task/log.h>
#include <task/task.h>

/* The packet frontend, which owns the packet socket and the flow director. */
struct packet_task;

struct packet_task *packet_task_new(const struct settings *settings,
				    GError **error);
void packet_task_free(struct packet_task *packet_task);
void packet_task_connect(struct packet_task *packet_task, struct task *control,
			 uint64_t node_id);
struct task *packet_task_task(struct packet_task *packet_task);

#endif
