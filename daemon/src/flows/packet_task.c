#include "packet_task_state.h"

#include <core/zone.h>
#include <daemon/control_message.h>
#include <daemon/drain_message.h>
#include <daemon/log_settings_message.h>
#include <daemon/metrics_message.h>
#include <daemon/nodes_message.h>
#include <daemon/ready_message.h>
#include <daemon/rules_message.h>
#include <daemon/target_state_message.h>
#include <daemon/task_log.h>
#include <inttypes.h>
#include <string.h>
#include <wire/flow_codec.h>

#define MAILBOX_CAPACITY 1024
#define RECEIVE_BUFFER_BYTES (4 * 1024 * 1024)
#define TICK_MS 100

/* Share of the control bandwidth for flow messages; membership has the rest. */
#define FLOW_SHARE_NUMERATOR 3
#define FLOW_SHARE_DENOMINATOR 4

static void report_drained(struct packet_task *packet_task)
{
	struct message *drained = drained_message_new(packet_task->task);

	task_post_or_free(packet_task->drain_reply_to, drained);
	packet_task->drain_reply_to = NULL;
}

/* A node without rules, from a file or the store, has no flows to take over. */
static bool is_ready_to_serve(const struct packet_task *packet_task)
{
	const struct settings *settings = packet_task->settings;

	if (!settings->rules_file && settings->platform.store.port == 0)
		return true;
	return flow_director_is_ready(packet_task->director);
}

/*
 * Reports a change of readiness to the control task. A joining node serves once
 * it has received the flows that it takes over.
 */
static void report_ready(struct packet_task *packet_task)
{
	bool is_ready = is_ready_to_serve(packet_task);
	struct message *message;

	if (!packet_task->control || is_ready == packet_task->is_ready)
		return;
	message = ready_message_new(is_ready);
	if (task_post(packet_task->control, message) == POST_ACCEPTED)
		packet_task->is_ready = is_ready;
	else
		message_free(message);
}

static void on_tick(void *context)
{
	struct packet_task *packet_task = context;

	flow_director_tick(packet_task->director, task_now_ms());
	report_ready(packet_task);
	counter_set_assign(packet_counters_set(packet_task->counters),
			   FLOW_RECORDS_HELD,
			   flow_director_flow_count(packet_task->director));
	if (packet_task->drain_reply_to &&
	    flow_director_may_stop(packet_task->director))
		report_drained(packet_task);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct packet_task *packet_task = context;
	struct udp_socket_options options = {
		.listen = packet_task->settings->listen_packets,
		.buffer_bytes = RECEIVE_BUFFER_BYTES,
		.context = packet_task,
		.receive = packet_forward_receive,
	};

	packet_task->socket = udp_socket_new(task, &options, error);
	if (!packet_task->socket)
		return false;
	packet_task->tick_timer = timer_new(task, packet_task, on_tick);
	timer_every(packet_task->tick_timer, TICK_MS);
	return true;
}

static void handle_rules(struct packet_task *packet_task,
			 struct message *message)
{
	struct rule_set *rules = rules_message_take(message);

	flow_director_set_rules(packet_task->director, rules, task_now_ms());
	rule_set_free(rules);
}

static void handle_nodes(struct packet_task *packet_task,
			 struct message *message)
{
	node_view_free(packet_task->view);
	packet_task->view = nodes_message_take(message);
	flow_director_set_view(packet_task->director, packet_task->view,
			       task_now_ms());
}

static void handle_target_state(struct packet_task *packet_task,
				struct message *message)
{
	const struct target_state_message *update =
		(const struct target_state_message *)message;

	flow_director_set_target_state(packet_task->director, update->target_id,
				       update->state, task_now_ms());
}

static void handle_control(struct packet_task *packet_task,
			   struct message *message)
{
	const struct control_message *in =
		(const struct control_message *)message;
	struct flow_message flow_message;

	if (in->procedure == flow_codec_procedure() &&
	    flow_codec_decode(&flow_message, in->bytes, in->length_bytes, NULL))
		flow_director_handle_message(packet_task->director, in->node_id,
					     &flow_message, task_now_ms());
	else
		counter_set_add(packet_counters_set(packet_task->counters),
				FLOW_MESSAGES_MALFORMED, 1);
}

static void handle_metrics_request(struct packet_task *packet_task,
				   struct message *message)
{
	metrics_request_reply(message,
			      packet_counters_set(packet_task->counters));
}

static void handle_log_settings(struct packet_task *packet_task,
				struct message *message)
{
	log_settings_message_apply((struct log_settings_message *)message,
				   packet_task->log);
}

static void handle_drain(struct packet_task *packet_task,
			 struct message *message)
{
	packet_task->drain_reply_to =
		((struct drain_message *)message)->reply_to;
	flow_director_leave(packet_task->director, task_now_ms());
}

/* The handler of each type of message. */
static const struct {
	const struct message_type *type;
	void (*handle)(struct packet_task *packet_task,
		       struct message *message);
} handlers[] = {
	{&rules_message_type, handle_rules},
	{&nodes_message_type, handle_nodes},
	{&target_state_message_type, handle_target_state},
	{&control_in_type, handle_control},
	{&metrics_request_type, handle_metrics_request},
	{&log_settings_message_type, handle_log_settings},
	{&drain_message_type, handle_drain},
};

static void handle(void *context, struct message *message)
{
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (handlers[i].type == message->type)
			handlers[i].handle(context, message);
	}
	message_free(message);
}

static void stop(void *context)
{
	struct packet_task *packet_task = context;

	timer_free(packet_task->tick_timer);
	udp_socket_free(packet_task->socket);
	packet_task->tick_timer = NULL;
	packet_task->socket = NULL;
}

static struct flow_director *create_director(struct packet_task *packet_task)
{
	const struct settings *settings = packet_task->settings;
	struct flow_director_options options = {
		.flow_seed = settings->flow_seed,
		.flow_capacity = settings->flow_capacity,
		.control_bytes_per_s = settings->members_bytes_per_s /
				       FLOW_SHARE_DENOMINATOR *
				       FLOW_SHARE_NUMERATOR,
		.callbacks = {.context = packet_task,
			      .send = packet_forward_send_message},
	};

	return flow_director_new(&options);
}

/*
 * Creates the packet frontend, which drops all packets until it has rules. The
 * settings must outlive it. Free it with packet_task_free. Fails with
 * TASK_ERROR.
 */
struct packet_task *packet_task_new(const struct settings *settings,
				    GError **error)
{
	struct packet_task *packet_task = g_new0(struct packet_task, 1);
	struct task_options options = {
		.name = "packets",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = packet_task,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	packet_task->settings = settings;
	packet_task->is_ready = true;
	packet_task->director = create_director(packet_task);
	packet_task->counters = packet_counters_new();
	packet_task->log = task_log_new(settings, "packets");
	packet_task->task = task_new(&options, error);
	if (packet_task->task)
		return packet_task;
	packet_task_free(packet_task);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void packet_task_free(struct packet_task *packet_task)
{
	if (!packet_task)
		return;
	task_free(packet_task->task);
	flow_director_free(packet_task->director);
	node_view_free(packet_task->view);
	packet_counters_free(packet_task->counters);
	log_free(packet_task->log);
	g_free(packet_task);
}

/*
 * Sets the control task, which sends messages to other nodes, and the id of
 * this node. Call it before the task is started. A node without a key file for
 * membership has no peers and gets a view that contains only itself.
 */
void packet_task_connect(struct packet_task *packet_task, struct task *control,
			 uint64_t node_id)
{
	struct node self = {
		.node_id = node_id,
		.zone_id = zone_id_from_name(packet_task->settings->zone),
		.state = NODE_SERVING,
	};

	packet_task->control = control;
	packet_task->node_id = node_id;
	if (packet_task->settings->members_key_file)
		return;
	packet_task->view = node_view_new(node_id, 0, &self, 1);
	flow_director_set_view(packet_task->director, packet_task->view,
			       task_now_ms());
}

/* Returns the task, to start it and to post messages to it. */
struct task *packet_task_task(struct packet_task *packet_task)
{
	return packet_task->task;
}
