#include "control_watchers.h"

#include <daemon/nodes_message.h>

/* A task that gets views; is_behind: its mailbox rejected the latest one. */
struct watcher {
	struct task *task;
	bool is_behind;
};

struct control_watchers {
	struct watcher watchers[WATCHER_COUNT_MAX];
	uint32_t count;
};

/* Creates a list without tasks. Free it with control_watchers_free. */
struct control_watchers *control_watchers_new(void)
{
	return g_new0(struct control_watchers, 1);
}

/* Frees the list but not its tasks; NULL is allowed. */
void control_watchers_free(struct control_watchers *watchers)
{
	g_free(watchers);
}

/* Adds a task, up to WATCHER_COUNT_MAX. The task must outlive the list. */
void control_watchers_add(struct control_watchers *watchers, struct task *task)
{
	g_return_if_fail(watchers->count < WATCHER_COUNT_MAX);
	watchers->watchers[watchers->count++].task = task;
}

static void post(struct watcher *watcher, const struct node_view *view)
{
	struct message *message = nodes_message_new(view);

	watcher->is_behind = task_post(watcher->task, message) != POST_ACCEPTED;
	if (watcher->is_behind)
		message_free(message);
}

/* Posts a copy of a new view to every task. */
void control_watchers_post(struct control_watchers *watchers,
			   const struct node_view *view)
{
	for (uint32_t i = 0; i < watchers->count; i++)
		post(&watchers->watchers[i], view);
}

/* Posts the current view to the tasks that did not accept the last post. */
void control_watchers_catch_up(struct control_watchers *watchers,
			       const struct node_view *view)
{
	for (uint32_t i = 0; i < watchers->count; i++) {
		if (watchers->watchers[i].is_behind)
			post(&watchers->watchers[i], view);
	}
}
