#include <daemon/drain_task.h>

#include <daemon/drain_message.h>
#include <task/timer.h>

#define MAILBOX_CAPACITY 64

struct drain_task {
	struct drain_task_options options;
	struct task *task;
	struct timer *timer;
	uint32_t pending_count;
	bool is_done;
};

static void finish(struct drain_task *drain, bool is_drained)
{
	if (drain->is_done)
		return;
	drain->is_done = true;
	timer_cancel(drain->timer);
	drain->options.on_done(drain->options.context, is_drained);
}

static void on_timeout(void *context)
{
	finish(context, false);
}

/*
 * A task whose mailbox does not accept the request counts as pending too: the
 * drain then ends with the timeout and is not reported as complete.
 */
static void request_drain(struct drain_task *drain, struct task *task)
{
	struct message *message = drain_message_new(drain->task);

	drain->pending_count++;
	task_post_or_free(task, message);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct drain_task *drain = context;

	drain->timer = timer_new(task, drain, on_timeout);
	timer_once(drain->timer, drain->options.timeout_ms);
	for (uint32_t i = 0; i < drain->options.task_count; i++)
		request_drain(drain, drain->options.tasks[i]);
	return true;
}

static void handle(void *context, struct message *message)
{
	struct drain_task *drain = context;

	if (message->type == &drained_message_type &&
	    --drain->pending_count == 0)
		finish(drain, true);
	message_free(message);
}

static void stop(void *context)
{
	struct drain_task *drain = context;

	timer_free(drain->timer);
}

/*
 * Starts the drain at once. Free the task with drain_task_free after the
 * drained tasks have stopped, as they post to it. Fails with
 * TASK_ERROR_RESOURCE.
 */
struct drain_task *drain_task_new(const struct drain_task_options *options,
				  GError **error)
{
	struct drain_task *drain = g_new0(struct drain_task, 1);
	struct task_options task_options = {
		.name = "drain",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = drain,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	drain->options = *options;
	drain->task = task_new(&task_options, error);
	if (drain->task && task_start(drain->task, error))
		return drain;
	drain_task_free(drain);
	return NULL;
}

/* Stops and frees the task; NULL is allowed. */
void drain_task_free(struct drain_task *drain)
{
	if (!drain)
		return;
	task_free(drain->task);
	g_free(drain);
}
