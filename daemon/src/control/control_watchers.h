#ifndef CONTROL_WATCHERS_H
#define CONTROL_WATCHERS_H

#include <core/node_view.h>
#include <task/task.h>

#define WATCHER_COUNT_MAX 8

/* The tasks that get each new node view. */
struct control_watchers;

struct control_watchers *control_watchers_new(void);
void control_watchers_free(struct control_watchers *watchers);
void control_watchers_add(struct control_watchers *watchers, struct task *task);
void control_watchers_post(struct control_watchers *watchers,
			   const struct node_view *view);
void control_watchers_catch_up(struct control_watchers *watchers,
			       const struct node_view *view);

#endif
