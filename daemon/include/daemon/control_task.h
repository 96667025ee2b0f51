#ifndef DAEMON_CONTROL_TASK_H
#define DAEMON_CONTROL_TASK_H

#include <daemon/settings.h>
#include <task/task.h>
#include <wire/procedure.h>

/*
 * Owns the control sockets and this node's membership. It sends the messages of
 * control_out_type that tasks post to it, posts each received call with
 * control_in_type to the task registered for its procedure range, and posts the
 * node view to the tasks added with control_task_watch when the view changes.
 */
struct control_task;

struct control_task *control_task_new(const struct settings *settings,
				      GError **error);
void control_task_free(struct control_task *control);
void control_task_route(struct control_task *control,
			enum procedure_range range, struct task *task);
void control_task_watch(struct control_task *control, struct task *task);
struct task *control_task_task(struct control_task *control);
uint64_t control_task_node_id(const struct control_task *control);

#endif
