#include "relay_task_state.h"

#include "relay_update.h"

#include <core/zone.h>
#include <daemon/asked_message.h>
#include <daemon/drain_message.h>
#include <daemon/log_settings_message.h>
#include <daemon/metrics_message.h>
#include <daemon/ready_message.h>
#include <daemon/route_message.h>
#include <daemon/store_update_message.h>
#include <daemon/task_log.h>
#include <daemon/unknown_peer_message.h>

#define MAILBOX_CAPACITY 1024

/*
 * Interval of load reports and of the expiry of flows and targets. Opening
 * packets are resent by retry_timer, which is more precise.
 */
#define TICK_MS 25

/*
 * Reports a change of readiness to the admin task. A node without routes or
 * targets or one that can serve no new flow while others could is not ready,
 * and routers send nothing to it.
 */
static void report_ready(struct relay_task *relay)
{
	bool is_ready = relay_director_is_ready(relay->director);
	bool is_isolated =
		is_ready && relay_director_is_isolated(relay->director);
	struct message *message;

	if (is_ready == relay->is_ready && is_isolated == relay->is_isolated)
		return;
	message = is_isolated ? ready_message_new_isolated()
			      : ready_message_new(is_ready);
	if (task_post(relay->admin, message) != POST_ACCEPTED) {
		message_free(message);
		return;
	}
	relay->is_ready = is_ready;
	relay->is_isolated = is_isolated;
	log_write(relay->log, LOG_LEVEL_NOTICE, "ready", "ready=%s isolated=%s",
		  is_ready && !is_isolated ? "yes" : "no",
		  is_isolated ? "yes" : "no");
}

static void on_tick(void *context)
{
	struct relay_task *relay = context;
	int64_t now_ms = task_now_ms();

	relay_forward_turn(relay, now_ms);
	relay_director_tick(relay->director, now_ms);
	relay_peers_tick(relay->peers, now_ms);
	report_ready(relay);
	relay_forward_held(relay);
	relay_drain_tick(&relay->drain, relay->task, relay->last_packet_ms,
			 now_ms);
}

/* A ready node has read the list of nodes and needs no other source. */
static void on_unknown_peer(void *context, const struct endpoint *from)
{
	struct relay_task *relay = context;

	if (!relay->is_ready)
		unknown_peer_message_post(relay->feed, from);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct relay_task *relay = context;
	struct relay_sender_options sender = {
		.listen = relay->settings->listen_packets,
		.counters = relay_task_counters(relay),
		.context = relay,
		.receive = relay_forward_packet,
		.emptied = relay_forward_emptied,
	};
	struct relay_peers_options peers = {
		.settings = relay->settings,
		.director = relay->director,
		.counters = relay_task_counters(relay),
		.times = relay->times,
		.context = relay,
		.on_unknown_peer = on_unknown_peer,
	};

	relay->sender = relay_sender_new(task, &sender, error);
	if (!relay->sender)
		return false;
	relay->peers = relay_peers_new(task, &peers, error);
	if (!relay->peers) {
		relay_sender_free(relay->sender);
		return false;
	}
	relay->tick_timer = timer_new(task, relay, on_tick);
	relay->retry_timer = timer_new(task, relay, relay_forward_retry);
	timer_every(relay->tick_timer, TICK_MS);
	return true;
}

static void handle_store_update(struct relay_task *relay,
				struct message *message)
{
	struct store_update_message *update =
		(struct store_update_message *)message;
	struct relay_route_table *routes = g_steal_pointer(&update->routes);
	int64_t now_ms = task_now_ms();

	relay->last_update_ms = now_ms;
	relay_update_apply_targets(relay_director_directory(relay->director),
				   update, relay->log, now_ms);
	if (update->evacuations)
		relay_update_apply_evacuations(
			relay_director_evacuations(relay->director), update,
			relay->log);
	if (update->peers) {
		relay_peers_set(relay->peers, update->peers);
		relay_director_set_nodes(relay->director, update->peers,
					 now_ms);
	}
	if (routes && relay_director_set_routes(relay->director, routes))
		relay_log_routes(relay->log, routes, update->revision);
	report_ready(relay);
	relay_forward_held(relay);
}

static void handle_metrics_request(struct relay_task *relay,
				   struct message *message)
{
	relay_counters_update_gauges(relay->counters, relay->director,
				     task_now_ms());
	metrics_request_reply_with_histograms(
		message, relay_task_counters(relay), relay->times);
}

static void handle_drain(struct relay_task *relay, struct message *message)
{
	relay_drain_begin(&relay->drain, message, task_now_ms());
	relay_director_set_leaving(relay->director);
}

static void handle_asked(struct relay_task *relay, struct message *message)
{
	relay_director_note_asked(relay->director, task_now_ms());
}

static void handle_route_request(struct relay_task *relay,
				 struct message *message)
{
	const struct route_request *request = (struct route_request *)message;

	route_request_reply(message, relay_route_explain(relay->director,
							 &request->question,
							 task_now_ms()));
}

static void handle_log_settings(struct relay_task *relay,
				struct message *message)
{
	log_settings_message_apply((struct log_settings_message *)message,
				   relay->log);
}

/* The handler of each type of message. */
static const struct {
	const struct message_type *type;
	void (*handle)(struct relay_task *relay, struct message *message);
} handlers[] = {
	{&store_update_message_type, handle_store_update},
	{&metrics_request_type, handle_metrics_request},
	{&drain_message_type, handle_drain},
	{&asked_message_type, handle_asked},
	{&route_request_type, handle_route_request},
	{&log_settings_message_type, handle_log_settings},
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
	struct relay_task *relay = context;

	timer_free(relay->tick_timer);
	timer_free(relay->retry_timer);
	relay_peers_free(relay->peers);
	relay_sender_free(relay->sender);
}

static struct relay_director *create_director(struct relay_task *relay)
{
	struct relay_director_options options = {
		.zone_id = zone_id_from_name(relay->settings->zone),
		.flow_capacity = relay->settings->flow_capacity,
		.reuse_after_ms = relay->settings->relay.reuse_after_ms,
		.flow_seed = relay->settings->flow_seed,
		.random_seed = g_random_int(),
		.start_ms = task_now_ms(),
		.warmup = {.self_id = relay_peer_id_from_name(
				   relay->settings->node_name),
			   .factor_milli =
				   relay->settings->relay.warmup_factor_milli,
			   .burst_milli =
				   relay->settings->relay.warmup_burst_milli},
		.callbacks = {.context = relay,
			      .resend_opening = relay_forward_resend_opening,
			      .settle_opening = relay_forward_settle_opening,
			      .flow_moved = relay_forward_flow_moved,
			      .avoidance_started = relay_forward_health_changed,
			      .warmup_changed = relay_forward_warmup_changed,
			      .zone_changed = relay_forward_zone_changed,
			      .room_changed = relay_forward_room_changed,
			      .isolation_changed =
				      relay_forward_isolation_changed,
			      .zone_report_due = relay_forward_zone_report,
			      .target_changed = relay_forward_target_changed,
			      .target_report_due = relay_forward_target_report},
	};

	return relay_director_new(&options);
}

/*
 * Creates the task. It has no routes until the first update from the store and
 * holds or resets new flows until then. The settings must outlive it. Free it
 * with relay_task_free. Fails with TASK_ERROR.
 */
struct relay_task *relay_task_new(const struct settings *settings,
				  GError **error)
{
	struct relay_task *relay = g_new0(struct relay_task, 1);
	struct task_options options = {
		.name = "relay",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = relay,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	relay->settings = settings;
	relay->retry_due_ms = INT64_MAX;
	relay->counters = relay_counters_new();
	relay->times = relay_times_new();
	relay->held = held_packets_new();
	relay->log = task_log_new(settings, "relay");
	relay->director = create_director(relay);
	relay->task = task_new(&options, error);
	if (relay->task)
		return relay;
	relay_task_free(relay);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void relay_task_free(struct relay_task *relay)
{
	if (!relay)
		return;
	task_free(relay->task);
	relay_director_free(relay->director);
	relay_counters_free(relay->counters);
	histogram_set_free(relay->times);
	held_packets_free(relay->held);
	log_free(relay->log);
	g_free(relay);
}

/*
 * Sets the tasks to report to: readiness is reported to admin, unknown peers to
 * feed. Call it before the task is started.
 */
void relay_task_connect(struct relay_task *relay, struct task *admin,
			struct task *feed)
{
	relay->admin = admin;
	relay->feed = feed;
}

/* Returns the task, to start it and to post messages to it. */
struct task *relay_task_task(struct relay_task *relay)
{
	return relay->task;
}
