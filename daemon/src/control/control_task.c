#include <daemon/control_task.h>

#include "control_counters.h"
#include "control_transport.h"
#include "control_watchers.h"

#include <core/endpoint_list.h>
#include <core/membership.h>
#include <core/node_feature.h>
#include <core/zone.h>
#include <daemon/control_message.h>
#include <daemon/daemon_error.h>
#include <daemon/drain_message.h>
#include <daemon/log_settings_message.h>
#include <daemon/metrics_message.h>
#include <daemon/ready_message.h>
#include <daemon/task_log.h>
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/random.h>
#include <task/timer.h>
#include <wire/member_codec.h>

#define MAILBOX_CAPACITY 8192

struct control_task {
	struct task *task;
	const struct settings *settings;
	struct control_transport *transport;
	struct membership *membership;
	struct timer *tick_timer;
	struct counter_set *counters;
	struct log *log;
	struct task *routes[CONTROL_FAMILY_COUNT];
	struct control_watchers *watchers;
	uint64_t node_id;
};

static void count_nodes(struct control_task *control,
			const struct node_view *view)
{
	uint64_t counts[NODE_STATE_COUNT] = {0};

	for (uint32_t i = 0; i < node_view_count(view); i++)
		counts[node_view_at(view, i)->state]++;
	for (uint32_t i = 0; i < NODE_STATE_COUNT; i++)
		counter_set_assign(control->counters, CONTROL_NODES + i,
				   counts[i]);
}

static void on_view_changed(void *context, const struct node_view *view)
{
	struct control_task *control = context;

	count_nodes(control, view);
	control_watchers_post(control->watchers, view);
}

static void on_member_event(void *context, const struct member_event *event)
{
	struct control_task *control = context;

	counter_set_add(control->counters, CONTROL_EVENTS + event->kind, 1);
	log_write(control->log, LOG_LEVEL_NOTICE, "member",
		  "decision=%s node=%016" PRIx64 " zone=%08" PRIx32
		  " incarnation=%" PRIu32,
		  member_event_name(event->kind), event->node_id,
		  event->zone_id, event->incarnation);
}

static void on_member_send(void *context, uint64_t to_node_id,
			   const struct endpoint *to,
			   const struct member_message *message)
{
	struct control_task *control = context;
	GByteArray *body = member_codec_encode(message, NULL);

	if (!body)
		return;
	control_transport_call(control->transport, to,
			       member_codec_procedure(message->kind),
			       body->data, body->len);
	g_byte_array_unref(body);
}

static void handle_member_call(struct control_task *control,
			       const struct endpoint *from,
			       const struct rpc_message *call)
{
	struct member_message message;
	GError *error = NULL;

	if (member_codec_decode(&message, call->procedure, call->body,
				call->length_bytes, &error)) {
		membership_receive(control->membership, call->sender_id, from,
				   &message, task_now_ms());
		return;
	}
	counter_set_add(control->counters, CONTROL_MALFORMED, 1);
	control_transport_refuse(control->transport, from, call,
				 RPC_STATUS_GARBAGE_ARGUMENTS);
	g_error_free(error);
}

/*
 * Drops a call for a task whose mailbox is full. The sending node resends calls
 * that the task still needs.
 */
static void deliver_call(struct control_task *control, struct task *task,
			 const struct rpc_message *call)
{
	struct message *message = control_message_new(
		&control_in_type, call->sender_id, call->procedure, call->body,
		call->length_bytes);

	if (task_post(task, message) == POST_ACCEPTED)
		return;
	message_free(message);
	counter_set_add(control->counters, CONTROL_MAILBOX_FULL, 1);
}

static void on_call(void *context, const struct endpoint *from,
		    const struct rpc_message *call)
{
	struct control_task *control = context;
	enum control_family family;

	if (!control_family_of(call->procedure, &family) ||
	    (family != CONTROL_FAMILY_MEMBERS && !control->routes[family])) {
		counter_set_add(control->counters, CONTROL_NO_ROUTE, 1);
		control_transport_refuse(control->transport, from, call,
					 RPC_STATUS_PROCEDURE_UNAVAILABLE);
	} else if (family == CONTROL_FAMILY_MEMBERS) {
		handle_member_call(control, from, call);
	} else {
		deliver_call(control, control->routes[family], call);
	}
}

static void on_tick(void *context)
{
	struct control_task *control = context;

	membership_tick(control->membership, task_now_ms());
	control_watchers_catch_up(control->watchers,
				  membership_view(control->membership));
}

static bool generate_node_id(uint64_t *node_id, GError **error)
{
	*node_id = NODE_NONE;
	while (*node_id == NODE_NONE) {
		if (getrandom(node_id, sizeof(*node_id), 0) == sizeof(*node_id))
			continue;
		g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_START,
			    "cannot generate a random node id: %s",
			    strerror(errno));
		return false;
	}
	return true;
}

static bool has_peers(const struct settings *settings)
{
	return settings->members_key_file != NULL;
}

static bool set_seeds(struct control_task *control, GError **error)
{
	const char *seeds = control->settings->members_seeds;
	GArray *endpoints;

	if (!seeds)
		return true;
	if (!has_peers(control->settings)) {
		g_set_error_literal(error, DAEMON_ERROR, DAEMON_ERROR_SETTINGS,
				    "members.key_file: required with "
				    "members.seeds, but missing");
		return false;
	}
	endpoints = endpoint_list_parse(seeds);
	membership_set_seeds(control->membership,
			     (const struct endpoint *)endpoints->data,
			     endpoints->len);
	g_array_free(endpoints, TRUE);
	return true;
}

static void create_membership(struct control_task *control)
{
	const struct settings *settings = control->settings;
	struct membership_options options = {
		.self = {.node_id = control->node_id,
			 .feature_bits = NODE_FEATURES,
			 .zone_id = zone_id_from_name(settings->zone),
			 .region_id = zone_id_from_name(settings->region),
			 .control = settings->listen_control,
			 .packets = settings->listen_packets},
		.seed = control->node_id,
		.probe_interval_ms = settings->members_interval_ms,
		.is_standalone = !has_peers(settings),
		.callbacks = {.context = control,
			      .send = on_member_send,
			      .view_changed = on_view_changed,
			      .event = on_member_event},
	};

	control->membership = membership_new(&options, task_now_ms());
}

static bool start(void *context, struct task *task, GError **error)
{
	struct control_task *control = context;
	const struct settings *settings = control->settings;
	struct control_transport_options options = {
		.node_id = control->node_id,
		.listen = settings->listen_control,
		.key_file = settings->members_key_file,
		.bytes_per_s = settings->members_bytes_per_s,
		.counters = control->counters,
		.log = control->log,
		.context = control,
		.receive = on_call,
	};

	control->transport = control_transport_new(task, &options, error);
	if (!control->transport)
		return false;
	create_membership(control);
	if (!set_seeds(control, error)) {
		control_transport_free(control->transport);
		control->transport = NULL;
		return false;
	}
	control->tick_timer = timer_new(task, control, on_tick);
	timer_every(control->tick_timer, MEMBERSHIP_TICK_MS);
	return true;
}

static void send_message(struct control_task *control,
			 const struct control_message *message)
{
	const struct node *node = node_view_find(
		membership_view(control->membership), message->node_id);

	if (node && node->state != NODE_DEAD)
		control_transport_call(control->transport, &node->control,
				       message->procedure, message->bytes,
				       message->length_bytes);
	else
		counter_set_add(control->counters, CONTROL_NO_NODE, 1);
}

/*
 * Announces to the other nodes that this node leaves, and replies at once. The
 * control task keeps running, because the tasks that are still draining need it
 * to exchange messages.
 */
static void handle_drain(struct control_task *control, struct message *message)
{
	struct task *reply_to = ((struct drain_message *)message)->reply_to;
	struct message *drained = drained_message_new(control->task);

	membership_leave(control->membership, task_now_ms());
	task_post_or_free(reply_to, drained);
}

static void handle(void *context, struct message *message)
{
	struct control_task *control = context;

	if (message->type == &control_out_type)
		send_message(control, (struct control_message *)message);
	else if (message->type == &metrics_request_type)
		metrics_request_reply(message, control->counters);
	else if (message->type == &drain_message_type)
		handle_drain(control, message);
	else if (message->type == &ready_message_type)
		membership_defer_serving(
			control->membership,
			!((struct ready_message *)message)->is_ready);
	else if (message->type == &log_settings_message_type)
		log_settings_message_apply(
			(struct log_settings_message *)message, control->log);
	message_free(message);
}

static void stop(void *context)
{
	struct control_task *control = context;

	membership_stop(control->membership, task_now_ms());
	control_transport_flush(control->transport);
	timer_free(control->tick_timer);
	control_transport_free(control->transport);
	control->transport = NULL;
}

/*
 * Creates the control task and generates a random node id. Tasks must be
 * registered with control_task_route and control_task_watch before it starts,
 * and not be freed before it stops. The settings must outlive it. Free it with
 * control_task_free.
 */
struct control_task *control_task_new(const struct settings *settings,
				      GError **error)
{
	struct control_task *control = g_new0(struct control_task, 1);
	struct task_options options = {
		.name = "control",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = control,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	control->settings = settings;
	control->counters = control_counters_new();
	control->watchers = control_watchers_new();
	control->log = task_log_new(settings, "control");
	if (generate_node_id(&control->node_id, error))
		control->task = task_new(&options, error);
	if (control->task)
		return control;
	control_task_free(control);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void control_task_free(struct control_task *control)
{
	if (!control)
		return;
	task_free(control->task);
	membership_free(control->membership);
	control_watchers_free(control->watchers);
	counter_set_free(control->counters);
	log_free(control->log);
	g_free(control);
}

/*
 * Registers the task that gets received calls of a procedure range. Must be
 * called before the control task starts.
 */
void control_task_route(struct control_task *control,
			enum procedure_range range, struct task *task)
{
	enum control_family family;

	if (control_family_of(range, &family))
		control->routes[family] = task;
}

/*
 * Adds a task that gets each new node view, up to WATCHER_COUNT_MAX tasks.
 * Must be called before the control task starts.
 */
void control_task_watch(struct control_task *control, struct task *task)
{
	control_watchers_add(control->watchers, task);
}

/* Returns the underlying task, to start it and to post messages to it. */
struct task *control_task_task(struct control_task *control)
{
	return control->task;
}

/* Returns the id by which other nodes know this node. */
uint64_t control_task_node_id(const struct control_task *control)
{
	return control->node_id;
}
