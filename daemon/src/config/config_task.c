#include <daemon/config_task.h>

#include "config_counters.h"
#include "config_platform.h"
#include "config_publisher.h"
#include "requests/target_watch.h"

#include <core/node_feature.h>
#include <core/rules_gossip.h>
#include <core/zone.h>
#include <daemon/control_message.h>
#include <daemon/metrics_message.h>
#include <daemon/nodes_message.h>
#include <inttypes.h>
#include <task/log.h>
#include <task/timer.h>
#include <unistd.h>
#include <wire/config_codec.h>
#include <wire/config_report_codec.h>

/* Full mailbox: peers repeat digests, and the sender counts the loss. */
#define MAILBOX_CAPACITY 1024
#define TICK_MS 200
#define VM_LIST_INTERVAL_MS 1000

/* A node that has just started may not have heard of the last epoch. */
#define ROSTER_START_MS 10000

struct config_task {
	struct config_task_options options;
	const struct settings *settings;
	struct task *task;
	struct log *log;
	struct counter_set *counters;
	struct timer *tick_timer;
	struct timer *target_timer;
	struct config_platform *platform;
	struct node_view *nodes;
	struct target_watch *targets;
	struct rules_gossip *gossip;
	struct config_publisher *publisher;
	int64_t start_ms;
};

static void on_changed(void *context, const struct rule_set *rules)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_NOTICE, "rules",
		  "revision=%" PRIu64 " rules=%u", rule_set_revision(rules),
		  rule_set_count(rules));
	config_publisher_set_rules(config->publisher, rules);
	target_watch_set_rules(config->targets, rules);
}

static void on_send(void *context, uint64_t node_id,
		    struct config_message *message)
{
	struct config_task *config = context;
	GByteArray *bytes = config_codec_encode(message, NULL);
	bool is_sent =
		bytes && config_publisher_control(
				 config->publisher, node_id,
				 config_codec_procedure(message->kind), bytes);

	counter_set_add(
		config->counters,
		is_sent ? CONFIG_MESSAGES_SENT : CONFIG_MESSAGES_NOT_SENT, 1);
	if (is_sent)
		counter_set_add(config->counters, CONFIG_BYTES_SENT,
				bytes->len);
	if (bytes)
		g_byte_array_free(bytes, TRUE);
	config_message_free(message);
}

static void on_read_store(void *context)
{
	struct config_task *config = context;

	config_store_read(config_platform_store(config->platform));
}

static void on_watch_store(void *context, bool is_wanted)
{
	struct config_task *config = context;

	config_store_watch(config_platform_store(config->platform), is_wanted);
}

static void on_repair_store(void *context)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_WARNING, "store_behind",
		  "action=write_back");
	counter_set_add(config->counters, CONFIG_STORE_REPAIRS, 1);
	config_store_repair(
		config_platform_store(config->platform),
		rules_replica_document(rules_gossip_replica(config->gossip)));
}

static void on_report_zone(void *context)
{
	struct config_task *config = context;
	GArray *reports = rules_gossip_reports(config->gossip);

	config_platform_report(config->platform, config_report_encode(reports));
	g_array_free(reports, TRUE);
}

static void on_document(void *context, const struct rules_document *document)
{
	struct config_task *config = context;

	rules_gossip_take_store(config->gossip, document, task_now_ms());
	config_publisher_retry(config->publisher,
			       rules_gossip_is_known(config->gossip));
}

static void on_store_failed(void *context, const char *reason)
{
	struct config_task *config = context;

	counter_set_add(config->counters, CONFIG_STORE_FAILURES, 1);
	log_write(config->log, LOG_LEVEL_WARNING, "store_failed",
		  "reason=\"%s\"", reason);
}

static void on_targets(void *context, const GArray *list, const GError *error)
{
	struct config_task *config = context;

	if (list)
		target_watch_take_list(config->targets, list);
	else
		log_write(config->log, LOG_LEVEL_WARNING, "targets_failed",
			  "reason=\"%s\"", error->message);
}

static bool on_target_state(void *context, uint64_t target_id,
			    enum target_state state)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_NOTICE, "target",
		  "target=%016" PRIx64 " state=%s", target_id,
		  target_state_name(state));
	return config_publisher_target(config->publisher, target_id, state);
}

static void on_roster_changed(void *context, const struct roster *roster)
{
	struct config_task *config = context;

	log_write(config->log, LOG_LEVEL_NOTICE, "roster",
		  "epoch=%" PRIu64 " members=%u", roster->epoch,
		  roster->epochs[0].member_count);
	config_publisher_roster(config->publisher, roster);
}

static void on_stored_roster(void *context, const struct roster *roster)
{
	struct config_task *config = context;

	rules_gossip_take_roster(config->gossip, roster, task_now_ms());
}

static void tick_platform(struct config_task *config, int64_t now_ms)
{
	struct roster_keeper_view view = {
		.is_reader = rules_gossip_is_watcher(config->gossip),
		.is_writer = rules_gossip_is_reporter(config->gossip) &&
			     rules_gossip_is_known(config->gossip) &&
			     now_ms - config->start_ms >= ROSTER_START_MS,
		.nodes = config->nodes,
		.held = rules_gossip_roster(config->gossip),
	};

	config_platform_tick(config->platform, &view,
			     rules_gossip_is_reporter(config->gossip), now_ms);
}

static void on_tick(void *context)
{
	struct config_task *config = context;
	int64_t now_ms = task_now_ms();

	rules_gossip_tick(config->gossip, now_ms);
	tick_platform(config, now_ms);
	config_publisher_retry(config->publisher,
			       rules_gossip_is_known(config->gossip));
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
		.on_document = on_document,
		.on_failed = on_store_failed,
		.on_roster = on_stored_roster,
		.on_targets = on_targets,
	};

	config->platform = config_platform_new(&options, error);
	return config->platform != NULL;
}

static void open_parts(struct config_task *config)
{
	struct target_watch_options options = {.context = config,
					       .on_state = on_target_state};

	config->start_ms = task_now_ms();
	config->publisher = config_publisher_new(&config->options);
	config->targets = target_watch_new(&options);
}

static void start_timers(struct config_task *config, struct task *task)
{
	config->tick_timer = timer_new(task, config, on_tick);
	config->target_timer = timer_new(task, config, on_target_timer);
	timer_every(config->tick_timer, TICK_MS);
	timer_every(config->target_timer, VM_LIST_INTERVAL_MS);
}

static void start_gossip(struct config_task *config)
{
	struct rules_gossip_options options = {
		.self_id = config->options.node_id,
		.zone_id = zone_id_from_name(config->settings->zone),
		.seed = (uint32_t)config->options.node_id,
		.features = NODE_FEATURES,
		.context = config,
		.send = on_send,
		.read_store = on_read_store,
		.watch_store = on_watch_store,
		.repair_store = on_repair_store,
		.changed = on_changed,
		.report_zone = on_report_zone,
		.roster_changed = on_roster_changed,
	};

	config->gossip = rules_gossip_new(&options);
}

/* A node without peers sees only itself. */
static void see_self(struct config_task *config)
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
	open_parts(config);
	start_gossip(config);
	if (!config->options.control)
		see_self(config);
	start_timers(config, task);
	return true;
}

static void take_control(struct config_task *config,
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
	rules_gossip_receive(config->gossip, control->node_id, message,
			     task_now_ms());
	config_message_free(message);
	config_publisher_retry(config->publisher,
			       rules_gossip_is_known(config->gossip));
}

static void take_nodes(struct config_task *config, struct message *message)
{
	struct node_view *view = nodes_message_take(message);

	rules_gossip_set_nodes(config->gossip, view, task_now_ms());
	node_view_free(config->nodes);
	config->nodes = view;
}

static void answer_metrics(struct config_task *config, struct message *message)
{
	const struct rules_replica *replica =
		rules_gossip_replica(config->gossip);
	const struct rule_set *rules = rules_replica_rules(replica);

	counter_set_assign(config->counters, CONFIG_REVISION,
			   rule_set_revision(rules));
	counter_set_assign(config->counters, CONFIG_LINES,
			   rule_set_count(rules));
	counter_set_assign(config->counters, CONFIG_LINES_HELD,
			   rules_replica_held_count(replica));
	counter_set_assign(config->counters, CONFIG_STORE_CALLS,
			   config_platform_call_count(config->platform));
	metrics_request_answer(message, config->counters);
}

static void handle(void *context, struct message *message)
{
	struct config_task *config = context;

	if (message->type == &nodes_message_type)
		take_nodes(config, message);
	else if (message->type == &control_in_type)
		take_control(config, (struct control_message *)message);
	else if (message->type == &metrics_request_type)
		answer_metrics(config, message);
	message_free(message);
}

static void stop(void *context)
{
	struct config_task *config = context;

	timer_free(config->tick_timer);
	timer_free(config->target_timer);
	rules_gossip_free(config->gossip);
	config_publisher_free(config->publisher);
	target_watch_free(config->targets);
	node_view_free(config->nodes);
	config_platform_free(config->platform);
}

/*
 * Makes the task; it is started by its caller, which frees it with
 * config_task_free. Starting fails when the store's token cannot be read.
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
	struct log_options log_options = {
		.program = "shallotd",
		.task = "config",
		.level = (enum log_level)options->settings->log_level,
		.rate_per_s = options->settings->log_rate_per_s,
		.fd = STDOUT_FILENO,
	};

	config->options = *options;
	config->settings = options->settings;
	config->log = log_new(&log_options);
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
