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

static void report_drained(struct packet_task *packets)
{
	struct message *drained = drained_message_new(packets->task);

	task_post_or_free(packets->drain_reply_to, drained);
	packets->drain_reply_to = NULL;
}

/* A node without rules, from a file or the store, has no flows to take over. */
static bool is_ready_to_serve(const struct packet_task *packets)
{
	const struct settings *settings = packets->settings;

	if (!settings->rules_file && settings->platform.store.port == 0)
		return true;
	return flow_director_is_ready(packets->director);
}

/*
 * Reports a change of readiness to the control task. A joining node serves once
 * it has received the flows that it takes over.
 */
static void report_ready(struct packet_task *packets)
{
	bool is_ready = is_ready_to_serve(packets);
	struct message *message;

	if (!packets->control || is_ready == packets->is_ready)
		return;
	message = ready_message_new(is_ready);
	if (task_post(packets->control, message) == POST_ACCEPTED)
		packets->is_ready = is_ready;
	else
		message_free(message);
}

static void on_tick(void *context)
{
	struct packet_task *packets = context;

	flow_director_tick(packets->director, task_now_ms());
	report_ready(packets);
	counter_set_assign(packet_counters_set(packets->counters),
			   PACKETS_FLOWS,
			   flow_director_flow_count(packets->director));
	if (packets->drain_reply_to &&
	    flow_director_may_stop(packets->director))
		report_drained(packets);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct packet_task *packets = context;
	struct udp_socket_options options = {
		.listen = packets->settings->listen_packets,
		.buffer_bytes = RECEIVE_BUFFER_BYTES,
		.context = packets,
		.receive = packet_forward_receive,
	};

	packets->socket = udp_socket_new(task, &options, error);
	if (!packets->socket)
		return false;
	packets->tick_timer = timer_new(task, packets, on_tick);
	timer_every(packets->tick_timer, TICK_MS);
	return true;
}

static void handle_rules(struct packet_task *packets, struct message *message)
{
	struct rule_set *rules = rules_message_take(message);

	flow_director_set_rules(packets->director, rules, task_now_ms());
	rule_set_free(rules);
}

static void handle_nodes(struct packet_task *packets, struct message *message)
{
	node_view_free(packets->view);
	packets->view = nodes_message_take(message);
	flow_director_set_view(packets->director, packets->view, task_now_ms());
}

static void handle_target_state(struct packet_task *packets,
				struct message *message)
{
	const struct target_state_message *update =
		(const struct target_state_message *)message;

	flow_director_set_target_state(packets->director, update->target_id,
				       update->state, task_now_ms());
}

static void handle_control(struct packet_task *packets, struct message *message)
{
	const struct control_message *in =
		(const struct control_message *)message;
	struct flow_message flow_message;

	if (in->procedure == flow_codec_procedure() &&
	    flow_codec_decode(&flow_message, in->bytes, in->length_bytes, NULL))
		flow_director_handle_message(packets->director, in->node_id,
					     &flow_message, task_now_ms());
	else
		counter_set_add(packet_counters_set(packets->counters),
				PACKETS_MESSAGES_MALFORMED, 1);
}

static void handle_metrics_request(struct packet_task *packets,
				   struct message *message)
{
	metrics_request_reply(message, packet_counters_set(packets->counters));
}

static void handle_log_settings(struct packet_task *packets,
				struct message *message)
{
	log_settings_message_apply((struct log_settings_message *)message,
				   packets->log);
}

static void handle_drain(struct packet_task *packets, struct message *message)
{
	packets->drain_reply_to = ((struct drain_message *)message)->reply_to;
	flow_director_leave(packets->director, task_now_ms());
}

/* The handler of each type of message. */
static const struct {
	const struct message_type *type;
	void (*handle)(struct packet_task *packets, struct message *message);
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
	struct packet_task *packets = context;

	timer_free(packets->tick_timer);
	udp_socket_free(packets->socket);
	packets->tick_timer = NULL;
	packets->socket = NULL;
}

static struct flow_director *create_director(struct packet_task *packets)
{
	const struct settings *settings = packets->settings;
	struct flow_director_options options = {
		.flow_seed = settings->flow_seed,
		.flow_capacity = settings->flow_capacity,
		.control_bytes_per_s = settings->members_bytes_per_s /
				       FLOW_SHARE_DENOMINATOR *
				       FLOW_SHARE_NUMERATOR,
		.callbacks = {.context = packets,
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
	struct packet_task *packets = g_new0(struct packet_task, 1);
	struct task_options options = {
		.name = "packets",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = packets,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	packets->settings = settings;
	packets->is_ready = true;
	packets->director = create_director(packets);
	packets->counters = packet_counters_new();
	packets->log = task_log_new(settings, "packets");
	packets->task = task_new(&options, error);
	if (packets->task)
		return packets;
	packet_task_free(packets);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void packet_task_free(struct packet_task *packets)
{
	if (!packets)
		return;
	task_free(packets->task);
	flow_director_free(packets->director);
	node_view_free(packets->view);
	packet_counters_free(packets->counters);
	log_free(packets->log);
	g_free(packets);
}

/*
 * Sets the control task, which sends messages to other nodes, and the id of
 * this node. Call it before the task is started. A node without a key file for
 * membership has no peers and gets a view that contains only itself.
 */
void packet_task_connect(struct packet_task *packets, struct task *control,
			 uint64_t node_id)
{
	struct node self = {
		.node_id = node_id,
		.zone_id = zone_id_from_name(packets->settings->zone),
		.state = NODE_SERVING,
	};

	packets->control = control;
	packets->node_id = node_id;
	if (packets->settings->members_key_file)
		return;
	packets->view = node_view_new(node_id, 0, &self, 1);
	flow_director_set_view(packets->director, packets->view, task_now_ms());
}

/* Returns the task, to start it and to post messages to it. */
struct task *packet_task_task(struct packet_task *packets)
{
	return packets->task;
}
