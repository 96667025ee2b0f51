#include "checker_task.h"

#include <task/task.h>

/*
 * Several seconds of events of the largest run. A lost event could hide a
 * violation.
 */
#define MAILBOX_CAPACITY (1 << 20)

struct checker_task {
	struct task *task;
	struct soak_checker *checker;
};

/* A flow event or a fleet event. */
struct checker_message {
	struct message message;
	bool is_fleet_event;
	union {
		struct flow_event event;
		struct soak_fleet_event fleet_event;
	};
};

static void checker_message_free(struct message *message)
{
	g_free(message);
}

static const struct message_type checker_message_type = {"judge_news",
							 checker_message_free};

static void handle(void *context, struct message *message)
{
	struct checker_task *task = context;
	const struct checker_message *event_message =
		(const struct checker_message *)message;

	if (event_message->is_fleet_event)
		soak_checker_handle_fleet_event(task->checker,
						&event_message->fleet_event);
	else
		soak_checker_handle_flow_event(task->checker,
					       &event_message->event);
	message_free(message);
}

/*
 * Creates a checker and starts its task; options->nodes must outlive it. Free
 * it with checker_task_free. Fails with TASK_ERROR.
 */
struct checker_task *
checker_task_new(const struct soak_checker_options *options, GError **error)
{
	struct checker_task *task = g_new0(struct checker_task, 1);
	struct task_options task_options = {
		.name = "judge",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = task,
		.handle = handle,
	};

	task->checker = soak_checker_new(options);
	task->task = task_new(&task_options, error);
	if (task->task && task_start(task->task, error))
		return task;
	checker_task_free(task);
	return NULL;
}

/* Stops the task and frees it and its checker; NULL is allowed. */
void checker_task_free(struct checker_task *task)
{
	if (!task)
		return;
	task_free(task->task);
	soak_checker_free(task->checker);
	g_free(task);
}

static void post(struct checker_task *task,
		 struct checker_message *event_message)
{
	event_message->message.type = &checker_message_type;
	if (!task_post_or_free(task->task, &event_message->message))
		g_error("the checker's mailbox is full: events are lost, no "
			"result is possible");
}

/* Posts a flow event; thread-safe, as required of a flow_observer. */
void checker_task_post_flow_event(void *context, const struct flow_event *event)
{
	struct checker_message *event_message =
		g_new0(struct checker_message, 1);

	event_message->event = *event;
	post(context, event_message);
}

/* Posts a fleet event; thread-safe. */
void checker_task_post_fleet_event(struct checker_task *task,
				   const struct soak_fleet_event *fleet_event)
{
	struct checker_message *event_message =
		g_new0(struct checker_message, 1);

	event_message->is_fleet_event = true;
	event_message->fleet_event = *fleet_event;
	post(task, event_message);
}

/*
 * Handles all queued messages, stops the task and returns its checker, which
 * stays owned by the task.
 */
struct soak_checker *checker_task_join(struct checker_task *task)
{
	task_stop(task->task);
	return task->checker;
}
