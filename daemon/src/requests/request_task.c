#include <daemon/request_task.h>

#include "request_frontend.h"

#include <daemon/claim_reply_message.h>
#include <daemon/drain_message.h>
#include <daemon/metrics_message.h>
#include <daemon/nodes_message.h>
#include <daemon/rules_message.h>
#include <daemon/target_state_message.h>

#define MAILBOX_CAPACITY 4096

struct request_task {
	struct task *task;
	struct request_task_options options;
	struct request_frontend *frontend;
	/* The task that receives drained_message. */
	struct task *drain_reply_to;
};

/* If the drain task's mailbox is full, the drain ends with its timeout. */
static void on_drained(void *context)
{
	struct request_task *request_task = context;
	struct message *drained = drained_message_new(request_task->task);

	task_post_or_free(request_task->drain_reply_to, drained);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct request_task *request_task = context;
	struct request_frontend_options options = {
		.task = task,
		.settings = request_task->options.settings,
		.claims = request_task->options.claims,
		.context = request_task,
		.on_drained = on_drained,
	};

	request_task->frontend = request_frontend_new(&options, error);
	return request_task->frontend != NULL;
}

static void handle_rules(struct request_task *request_task,
			 struct message *message)
{
	request_frontend_set_rules(request_task->frontend,
				   rules_message_take(message));
}

/* Returns whether a node may still be sending requests to the targets. */
static bool shares_targets(const struct node *node)
{
	return node->state != NODE_DEAD && node->state != NODE_CUT_OFF;
}

static void handle_nodes(struct request_task *request_task,
			 struct message *message)
{
	struct node_view *view = nodes_message_take(message);
	uint32_t node_count = 0;

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		if (shares_targets(node_view_at(view, i)))
			node_count++;
	}
	node_view_free(view);
	request_frontend_set_node_count(request_task->frontend, node_count);
}

static void handle_target_state(struct request_task *request_task,
				struct message *message)
{
	const struct target_state_message *state =
		(struct target_state_message *)message;

	request_frontend_set_target_state(request_task->frontend,
					  state->target_id, state->state);
}

static void handle_metrics_request(struct request_task *request_task,
				   struct message *message)
{
	metrics_request_reply(
		message, request_frontend_counters(request_task->frontend));
}

static void handle_claim_reply(struct request_task *request_task,
			       struct message *message)
{
	const struct claim_reply_message *reply =
		(struct claim_reply_message *)message;

	request_frontend_set_claim_result(request_task->frontend,
					  reply->request_id, reply->result);
}

static void handle_log_settings(struct request_task *request_task,
				struct message *message)
{
	request_frontend_set_log(request_task->frontend,
				 (struct log_settings_message *)message);
}

static void handle_drain(struct request_task *request_task,
			 struct message *message)
{
	request_task->drain_reply_to =
		((struct drain_message *)message)->reply_to;
	request_frontend_drain(request_task->frontend);
}

/* The handler of each message type; other types are ignored. */
static const struct {
	const struct message_type *type;
	void (*handle)(struct request_task *request_task,
		       struct message *message);
} handlers[] = {
	{&rules_message_type, handle_rules},
	{&nodes_message_type, handle_nodes},
	{&target_state_message_type, handle_target_state},
	{&metrics_request_type, handle_metrics_request},
	{&claim_reply_message_type, handle_claim_reply},
	{&log_settings_message_type, handle_log_settings},
	{&drain_message_type, handle_drain},
};

static void handle(void *context, struct message *message)
{
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (message->type == handlers[i].type)
			handlers[i].handle(context, message);
	}
	message_free(message);
}

static void stop(void *context)
{
	struct request_task *request_task = context;

	request_frontend_free(request_task->frontend);
	request_task->frontend = NULL;
}

/*
 * Creates the request task. The settings and the claims task must outlive it.
 * Free it with request_task_free. Fails with TASK_ERROR_RESOURCE.
 */
struct request_task *
request_task_new(const struct request_task_options *options, GError **error)
{
	struct request_task *request_task = g_new0(struct request_task, 1);
	struct task_options task_options = {
		.name = "requests",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = request_task,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	request_task->options = *options;
	request_task->task = task_new(&task_options, error);
	if (request_task->task)
		return request_task;
	request_task_free(request_task);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void request_task_free(struct request_task *request_task)
{
	if (!request_task)
		return;
	task_free(request_task->task);
	g_free(request_task);
}

/* Returns the task, to start it and to post messages to it. */
struct task *request_task_task(struct request_task *request_task)
{
	return request_task->task;
}
