#ifndef TASK_TASK_H
#define TASK_TASK_H

#include <event2/event.h>
#include <glib.h>
#include <task/mailbox.h>

/*
 * A thread with an event loop and a bounded mailbox. Only the task itself uses
 * the sockets and the state in its context; other threads send it messages.
 */
struct task;

/*
 * All callbacks run in the task's own thread. start runs first and opens the
 * sockets; if it fails, task_start fails. handle gets each message and takes
 * ownership of it. stop runs last. start and stop may be NULL.
 */
struct task_options {
	const char *name;
	uint32_t mailbox_capacity;
	void *context;
	bool (*start)(void *context, struct task *task, GError **error);
	void (*handle)(void *context, struct message *message);
	void (*stop)(void *context);
};

struct task *task_new(const struct task_options *options, GError **error);
bool task_start(struct task *task, GError **error);
void task_stop(struct task *task);
void task_free(struct task *task);
enum post_result task_post(struct task *task, struct message *message);
bool task_post_or_free(struct task *task, struct message *message);
struct event_base *task_base(struct task *task);
const char *task_name(const struct task *task);
int64_t task_now_ms(void);
int64_t task_now_us(void);

#endif
