#include "config_task_state.h"

#include <core/node_feature.h>
#include <core/zone.h>
#include <daemon/control_message.h>
#include <daemon/metrics_message.h>
#include <daemon/nodes_message.h>
#include <daemon/task_log.h>
#include <inttypes.h>
#include <wire/config_codec.h>
#include <wire/config_report_codec.h>

/*
 * If the mailbox is full, the sender drops and counts the message. The periodic
 * digests of the peers then reveal which changes are missing.
 */
#define MAILBOX_CAPACITY 1024
#define TICK_MS 200
#define TARGET_LIST_INTERVAL_MS 1000

/*
 * No roster is written for this long after the start, because the node may not
 * have received the current roster yet.
 */
#define ROSTER_WRITE_DELAY_MS 10000

static void tick_platform(struct config_task *config, int64_t now_ms)
{
	struct roster_updater_inputs roster_inputs = {
		.is_reader = rules_gossip_is_watcher(config->gossip),
		.is_writer = rules_gossip_is_reporter(config->gossip) &&
			     rules_gossip_is_config_known(config->gossip) &&
			     now_ms - config->start_ms >= ROSTER_WRITE_DELAY_MS,
		.nodes = config->nodes,
		.current = rules_gossip_roster(config->gossip),
	};

	config_platform_tick(config->platform, &roster_inputs,
			     rules_gossip_is_reporter(config->gossip), now_ms);
}

static void on_tick(void *context)
{
	struct config_task *config = context;
	int64_t now_ms = task_now_ms();

	rules_gossip_tick(config->gossip, now_ms);
	tick_platform(config, now_ms);
	config_publisher_retry(config->publisher,
			       rules_gossip_is_config_known(config->gossip));
}

static void on_target_timer(void *context)
{
	struct config_task *config = context;

	config_platform_read_targets(config->platform);
}

static bool open_platform(struct config_task *config, struct task *task,
			  GError **error)
{
	struct config_platform_options options = {
		.base = task_base(task),
		.settings = config->settings,
		.context = config,
		.on_document = config_on_document,
		.on_failed = config_on_store_failed,
		.on_roster = config_on_stored_roster,
		.on_targets = config_on_targets,
	};

	config->platform = config_platform_new(&options, error);
	return config->platform != NULL;
}

static void init_components(struct config_task *config)
{
	struct target_watch_options options = {
		.context = config, .on_state = config_on_target_state};

	config->start_ms = task_now_ms();
	config->publisher = config_publisher_new(&config->options);
	config->target_watch = target_watch_new(&options);
}

static void start_timers(struct config_task *config, struct task *task)
{
	config->tick_timer = timer_new(task, config, on_tick);
	config->target_timer = timer_new(task, config, on_target_timer);
	timer_every(config->tick_timer, TICK_MS);
	timer_every(config->target_timer, TARGET_LIST_INTERVAL_MS);
}

static void start_gossip(struct config_task *config)
{
	struct rules_gossip_options options = {
		.self_id = config->options.node_id,
		.zone_id = zone_id_from_name(config->settings->zone),
		.seed = (uint32_t)config->options.node_id,
		.features = NODE_FEATURES,
		.context = config,
		.send = config_on_send,
		.read_store = config_on_read_store,
		.watch_store = config_on_watch_store,
		.repair_store = config_on_repair_store,
		.rules_changed = config_on_rules_changed,
		.publish_reports = config_on_report_zone,
		.roster_changed = config_on_roster_changed,
	};

	config->gossip = rules_gossip_new(&options);
}

/* Sets the view of a node without peers, which contains only this node. */
static void set_single_node_view(struct config_task *config)
{
	struct node self = {
		.node_id = config->options.node_id,
		.zone_id = zone_id_from_name(config->settings->zone),
		.feature_bits = NODE_FEATURES,
		.state = NODE_SERVING,
	};
	struct node_view *view = node_view_new(self.node_id, 1, &self, 1);

	rules_gossip_set_nodes(config->gossip, view, task_now_ms());
	config->nodes = view;
}

static bool start(void *context, struct task *task, GError **error)
{
	struct config_task *config = context;

	if (!open_platform(config, task, error))
		return false;
	init_components(config);
	start_gossip(config);
	if (!config->options.control)
		set_single_node_view(config);
	start_timers(config, task);
	return true;
}

static void handle_control(struct config_task *config,
			   const struct control_message *control)
{
	struct config_message *message =
		config_codec_decode(control->procedure, control->bytes,
				    control->length_bytes, NULL);

	counter_set_add(config->counters,
			message ? CONFIG_MESSAGES_RECEIVED
				: CONFIG_MESSAGES_MALFORMED,
			1);
	if (!message)
		return;
	rules_gossip_handle_message(config->gossip, control->node_id, message,
				    task_now_ms());
	config_message_free(message);
	config_publisher_retry(config->publisher,
			       rules_gossip_is_config_known(config->gossip));
}

static void handle_nodes(struct config_task *config, struct message *message)
{
	struct node_view *view = nodes_message_take(message);

	rules_gossip_set_nodes(config->gossip, view, task_now_ms());
	node_view_free(config->nodes);
	config->nodes = view;
}

static void handle_metrics_request(struct config_task *config,
				   struct message *message)
{
	const struct rules_replica *replica =
		rules_gossip_replica(config->gossip);
	const struct rule_set *rules = rules_replica_rules(replica);

	counter_set_assign(config->counters, CONFIG_REVISION,
			   rule_set_revision(rules));
	counter_set_assign(config->counters, CONFIG_RULES,
			   rule_set_count(rules));
	counter_set_assign(config->counters, CONFIG_LINES_HELD,
			   rules_replica_held_line_count(replica));
	counter_set_assign(config->counters, CONFIG_STORE_CALLS,
			   config_platform_call_count(config->platform));
	metrics_request_reply(message, config->counters);
}

static void handle(void *context, struct message *message)
{
	struct config_task *config = context;

	if (message->type == &nodes_message_type)
		handle_nodes(config, message);
	else if (message->type == &control_in_type)
		handle_control(config, (struct control_message *)message);
	else if (message->type == &metrics_request_type)
		handle_metrics_request(config, message);
	message_free(message);
}

static void stop(void *context)
{
	struct config_task *config = context;

	timer_free(config->tick_timer);
	timer_free(config->target_timer);
	rules_gossip_free(config->gossip);
	config_publisher_free(config->publisher);
	target_watch_free(config->target_watch);
	node_view_free(config->nodes);
	config_platform_free(config->platform);
}

/*
 * Creates the task; it is not started yet. Its start fails if the store's token
 * file cannot be read. Free it with config_task_free. Fails with TASK_ERROR.
 */
struct config_task *config_task_new(const struct config_task_options *options,
				    GError **error)
{
	struct config_task *config = g_new0(struct config_task, 1);
	struct task_options task_options = {
		.name = "config",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = config,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	config->options = *options;
	config->settings = options->settings;
	config->log = task_log_new(options->settings, "config");
	config->counters =
		counter_set_new(config_counter_rows, CONFIG_COUNTER_COUNT);
	config->task = task_new(&task_options, error);
	if (config->task)
		return config;
	config_task_free(config);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void config_task_free(struct config_task *config)
{
	if (!config)
		return;
	task_free(config->task);
	counter_set_free(config->counters);
	log_free(config->log);
	g_free(config);
}

/* Returns the task, to start it and to post messages to it. */
struct task *config_task_task(struct config_task *config)
{
	return config->task;
}
