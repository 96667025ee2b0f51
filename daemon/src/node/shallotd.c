#include <daemon/shallotd.h>

#include <core/zone.h>
#include <daemon/admin_task.h>
#include <daemon/claims_task.h>
#include <daemon/config_task.h>
#include <daemon/control_task.h>
#include <daemon/drain_task.h>
#include <daemon/feed_task.h>
#include <daemon/log_settings_message.h>
#include <daemon/packet_task.h>
#include <daemon/ready_message.h>
#include <daemon/relay_task.h>
#include <daemon/request_task.h>
#include <daemon/rules_file.h>
#include <daemon/rules_message.h>

/*
 * Indexes in the array of tasks of a node with DELIVERY_BY_HOME. The
 * FORWARDING_TASK_COUNT tasks from FORWARDING_TASK_FIRST handle the traffic of
 * callers and get rules and target states. The configuration task exists only
 * if there is a store.
 */
enum task_index {
	TASK_ADMIN,
	TASK_PACKETS,
	TASK_REQUESTS,
	TASK_CONTROL,
	TASK_CLAIMS,
	TASK_CONFIG,
	TASK_COUNT_MAX,
};

#define FORWARDING_TASK_FIRST TASK_PACKETS
#define FORWARDING_TASK_COUNT (TASK_CONTROL - FORWARDING_TASK_FIRST)

/*
 * The claims and configuration tasks are not drained: they run until the node
 * stops.
 */
#define DRAIN_TASK_COUNT (TASK_CONTROL + 1)
#define TASK_COUNT_MIN (TASK_CLAIMS + 1)

struct shallotd {
	const struct settings *settings;
	struct packet_task *packet_task;
	struct request_task *request_task;
	struct admin_task *admin;
	struct drain_task *drain;
	struct config_task *config;
	struct control_task *control;
	struct claims_task *claims;
	struct relay_task *relay;
	struct feed_task *feed;
	struct task *tasks[TASK_COUNT_MAX];
	uint32_t task_count;
	uint32_t drain_task_count;
};

/* A node without a store reads its rules from a file. */
static bool has_store(const struct shallotd *daemon)
{
	return daemon->settings->platform.store.port != 0;
}

static bool make_admin(struct shallotd *daemon, GError **error)
{
	struct admin_task_options options = {
		.settings = daemon->settings,
		.metrics_sources = &daemon->tasks[FORWARDING_TASK_FIRST],
		.metrics_source_count = TASK_COUNT_MIN - FORWARDING_TASK_FIRST +
					(has_store(daemon) ? 1 : 0),
	};

	daemon->admin = admin_task_new(&options, error);
	if (!daemon->admin)
		return false;
	daemon->tasks[TASK_ADMIN] = admin_task_task(daemon->admin);
	return true;
}

static bool make_config(struct shallotd *daemon, GError **error)
{
	struct config_task_options options = {
		.settings = daemon->settings,
		.node_id = control_task_node_id(daemon->control),
		.forwarding_tasks = &daemon->tasks[FORWARDING_TASK_FIRST],
		.forwarding_task_count = FORWARDING_TASK_COUNT,
		.admin = admin_task_task(daemon->admin),
		.control = control_task_task(daemon->control),
		.claims = claims_task_task(daemon->claims),
	};

	if (!has_store(daemon))
		return true;
	daemon->config = config_task_new(&options, error);
	if (!daemon->config)
		return false;
	daemon->tasks[daemon->task_count++] = config_task_task(daemon->config);
	control_task_route(daemon->control, PROCEDURE_CONFIG_FIRST,
			   config_task_task(daemon->config));
	return true;
}

static void watch_nodes(struct shallotd *daemon)
{
	for (uint32_t i = FORWARDING_TASK_FIRST; i < daemon->task_count; i++) {
		if (i != TASK_CONTROL)
			control_task_watch(daemon->control, daemon->tasks[i]);
	}
}

static bool make_claims(struct shallotd *daemon, GError **error)
{
	struct claims_task_options options = {
		.settings = daemon->settings,
		.node_id = control_task_node_id(daemon->control),
		.control = control_task_task(daemon->control),
	};

	daemon->claims = claims_task_new(&options, error);
	if (!daemon->claims)
		return false;
	daemon->tasks[TASK_CLAIMS] = claims_task_task(daemon->claims);
	control_task_route(daemon->control, PROCEDURE_CLAIMS_FIRST,
			   daemon->tasks[TASK_CLAIMS]);
	return true;
}

static bool make_requests(struct shallotd *daemon, GError **error)
{
	struct request_task_options options = {
		.settings = daemon->settings,
		.claims = daemon->tasks[TASK_CLAIMS],
	};

	daemon->request_task = request_task_new(&options, error);
	if (!daemon->request_task)
		return false;
	daemon->tasks[TASK_REQUESTS] = request_task_task(daemon->request_task);
	return true;
}

/*
 * Creates the tasks of a node with DELIVERY_BY_TAG. The relay task starts
 * before the feed task, which posts to it.
 */
static bool make_relay_tasks(struct shallotd *daemon, GError **error)
{
	struct feed_task_options feed = {.settings = daemon->settings};
	struct admin_task_options admin = {
		.settings = daemon->settings,
		.metrics_sources = &daemon->tasks[FORWARDING_TASK_FIRST],
		.metrics_source_count = 2,
	};

	daemon->relay = relay_task_new(daemon->settings, error);
	if (!daemon->relay)
		return false;
	feed.sink = relay_task_task(daemon->relay);
	daemon->feed = feed_task_new(&feed, error);
	if (!daemon->feed)
		return false;
	admin.asked_sink = relay_task_task(daemon->relay);
	daemon->admin = admin_task_new(&admin, error);
	if (!daemon->admin)
		return false;
	relay_task_connect(daemon->relay, admin_task_task(daemon->admin),
			   feed_task_task(daemon->feed));
	daemon->tasks[daemon->task_count++] = admin_task_task(daemon->admin);
	daemon->tasks[daemon->task_count++] = relay_task_task(daemon->relay);
	daemon->tasks[daemon->task_count++] = feed_task_task(daemon->feed);
	daemon->drain_task_count = daemon->task_count;
	return true;
}

static bool make_tasks(struct shallotd *daemon, GError **error)
{
	if (daemon->settings->relay.mode == DELIVERY_BY_TAG)
		return make_relay_tasks(daemon, error);
	daemon->packet_task = packet_task_new(daemon->settings, error);
	if (!daemon->packet_task)
		return false;
	daemon->control = control_task_new(daemon->settings, error);
	if (!daemon->control)
		return false;
	packet_task_connect(daemon->packet_task,
			    control_task_task(daemon->control),
			    control_task_node_id(daemon->control));
	control_task_route(daemon->control, PROCEDURE_FLOWS_FIRST,
			   packet_task_task(daemon->packet_task));
	daemon->tasks[TASK_PACKETS] = packet_task_task(daemon->packet_task);
	daemon->tasks[TASK_CONTROL] = control_task_task(daemon->control);
	daemon->task_count = TASK_COUNT_MIN;
	daemon->drain_task_count = DRAIN_TASK_COUNT;
	if (!make_claims(daemon, error) || !make_requests(daemon, error))
		return false;
	if (!make_admin(daemon, error) || !make_config(daemon, error))
		return false;
	watch_nodes(daemon);
	return true;
}

static bool start_tasks(struct shallotd *daemon, GError **error)
{
	for (uint32_t i = 0; i < daemon->task_count; i++) {
		if (!task_start(daemon->tasks[i], error))
			return false;
	}
	return true;
}

static bool load_rules(struct shallotd *daemon, GError **error)
{
	struct rule_set *rules;

	if (!daemon->settings->rules_file)
		return true;
	rules = rules_file_read(daemon->settings->rules_file, error);
	if (!rules)
		return false;
	for (uint32_t i = 0; i < FORWARDING_TASK_COUNT; i++)
		task_post_or_free(daemon->tasks[FORWARDING_TASK_FIRST + i],
				  rules_message_new(rules));
	rule_set_free(rules);
	task_post_or_free(admin_task_task(daemon->admin),
			  ready_message_new(true));
	return true;
}

/*
 * Creates a node and starts its tasks. The settings must outlive the node. Free
 * it with shallotd_free. Fails with DAEMON_ERROR or TASK_ERROR.
 */
struct shallotd *shallotd_new(const struct settings *settings, GError **error)
{
	struct shallotd *daemon = g_new0(struct shallotd, 1);

	daemon->settings = settings;
	if (make_tasks(daemon, error) && start_tasks(daemon, error) &&
	    load_rules(daemon, error))
		return daemon;
	shallotd_free(daemon);
	return NULL;
}

/*
 * Tasks post to each other, so none may be freed before all have stopped. The
 * control task stops last, so that it can send the other tasks' last messages.
 */
static void stop_tasks(struct shallotd *daemon)
{
	for (uint32_t i = 0; i < TASK_COUNT_MAX; i++) {
		if (daemon->tasks[i] && i != TASK_CONTROL)
			task_stop(daemon->tasks[i]);
	}
	if (daemon->tasks[TASK_CONTROL])
		task_stop(daemon->tasks[TASK_CONTROL]);
}

/* Stops the tasks and frees the node; NULL is allowed. */
void shallotd_free(struct shallotd *daemon)
{
	if (!daemon)
		return;
	stop_tasks(daemon);
	admin_task_free(daemon->admin);
	config_task_free(daemon->config);
	feed_task_free(daemon->feed);
	relay_task_free(daemon->relay);
	request_task_free(daemon->request_task);
	claims_task_free(daemon->claims);
	packet_task_free(daemon->packet_task);
	control_task_free(daemon->control);
	drain_task_free(daemon->drain);
	g_free(daemon);
}

/*
 * Starts the drain: this node announces that it leaves, accepts no new work and
 * finishes or hands over its work in progress. Fails with TASK_ERROR_RESOURCE;
 * on_done is then never called.
 */
bool shallotd_drain(struct shallotd *daemon,
		    const struct shallotd_drain_options *options,
		    GError **error)
{
	struct drain_task_options drain_options = {
		.tasks = daemon->tasks,
		.task_count = daemon->drain_task_count,
		.timeout_ms = daemon->settings->drain_timeout_ms,
		.context = options->context,
		.on_done = options->on_done,
	};

	daemon->drain = drain_task_new(&drain_options, error);
	return daemon->drain != NULL;
}

/* Changes the log level and rate limit of all tasks. */
void shallotd_configure_log(struct shallotd *daemon, uint32_t level,
			    uint32_t rate_per_s)
{
	for (uint32_t i = 0; i < daemon->task_count; i++)
		task_post_or_free(daemon->tasks[i],
				  log_settings_message_new(
					  (enum log_level)level, rate_per_s));
}
