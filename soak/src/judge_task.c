#include "judge_task.h"

#include <task/task.h>

/* Some seconds of events of the largest run; a lost event could hide a fault.
 */
#define MAILBOX_CAPACITY (1 << 20)

struct judge_task {
	struct task *task;
	struct soak_judge *judge;
};

/* An event or a fact; one of both is set. */
struct judge_news {
	struct message message;
	bool is_fact;
	union {
		struct flow_event event;
		struct soak_fact fact;
	};
};

static void news_free(struct message *message)
{
	g_free(message);
}

static const struct message_type news_type = {"judge_news", news_free};

static void handle(void *context, struct message *message)
{
	struct judge_task *task = context;
	const struct judge_news *news = (const struct judge_news *)message;

	if (news->is_fact)
		soak_judge_fact(task->judge, &news->fact);
	else
		soak_judge_event(task->judge, &news->event);
	message_free(message);
}

/*
 * Starts a judge's task; the nodes of the options must outlive it. The caller
 * frees it with judge_task_free. Fails with TASK_ERROR.
 */
struct judge_task *judge_task_new(const struct soak_judge_options *options,
				  GError **error)
{
	struct judge_task *task = g_new0(struct judge_task, 1);
	struct task_options task_options = {
		.name = "judge",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = task,
		.handle = handle,
	};

	task->judge = soak_judge_new(options);
	task->task = task_new(&task_options, error);
	if (task->task && task_start(task->task, error))
		return task;
	judge_task_free(task);
	return NULL;
}

/* Stops the task and frees its judge; NULL is allowed. */
void judge_task_free(struct judge_task *task)
{
	if (!task)
		return;
	task_free(task->task);
	soak_judge_free(task->judge);
	g_free(task);
}

static void post(struct judge_task *task, struct judge_news *news)
{
	news->message.type = &news_type;
	if (!task_post_or_free(task->task, &news->message))
		g_error("the judge's mailbox is full: no verdict is possible");
}

/* Passes on what an end saw; any thread may call it, as an flow_observer. */
void judge_task_event(void *context, const struct flow_event *event)
{
	struct judge_news *news = g_new0(struct judge_news, 1);

	news->event = *event;
	post(context, news);
}

/* Passes on what was done to the fleet. */
void judge_task_fact(struct judge_task *task, const struct soak_fact *fact)
{
	struct judge_news *news = g_new0(struct judge_news, 1);

	news->is_fact = true;
	news->fact = *fact;
	post(task, news);
}

/* Stops the task once it has handled everything; the judge stays its own. */
struct soak_judge *judge_task_join(struct judge_task *task)
{
	task_stop(task->task);
	return task->judge;
}
