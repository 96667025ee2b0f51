#include <daemon/shallotd.h>

#include <core/node.h>
#include <daemon/admin_task.h>
#include <daemon/config_task.h>
#include <daemon/drain_task.h>
#include <daemon/log_settings_message.h>
#include <daemon/packet_task.h>
#include <daemon/ready_message.h>
#include <daemon/request_task.h>
#include <daemon/rules_file.h>
#include <daemon/rules_message.h>

#define WORK_TASK_COUNT 2

/* The work tasks, and the configuration task where there is a store. */
#define SOURCE_COUNT_MAX (WORK_TASK_COUNT + 1)

struct shallotd {
	const struct settings *settings;
	struct packet_task *packets;
	struct request_task *requests;
	struct admin_task *admin;
	struct drain_task *drain;
	struct config_task *config;
	struct task *work_tasks[WORK_TASK_COUNT];
	struct task *sources[SOURCE_COUNT_MAX];
};

/* A node without a store takes its rules from a file. */
static bool has_store(const struct shallotd *daemon)
{
	return daemon->settings->platform.store.port != 0;
}

static bool make_admin(struct shallotd *daemon, GError **error)
{
	struct admin_options options = {
		.settings = daemon->settings,
		.sources = daemon->sources,
		.source_count = WORK_TASK_COUNT + (has_store(daemon) ? 1 : 0),
	};

	daemon->admin = admin_task_new(&options, error);
	return daemon->admin != NULL;
}

/* The id is drawn at start, so that a restarted node is a new one. */
static uint64_t draw_node_id(void)
{
	uint64_t node_id = ((uint64_t)g_random_int() << 32) | g_random_int();

	return node_id != NODE_NONE ? node_id : 1;
}

static bool make_config(struct shallotd *daemon, GError **error)
{
	struct config_task_options options = {
		.settings = daemon->settings,
		.node_id = draw_node_id(),
		.work_tasks = daemon->work_tasks,
		.work_task_count = WORK_TASK_COUNT,
		.admin = admin_task_task(daemon->admin),
	};

	if (!has_store(daemon))
		return true;
	daemon->config = config_task_new(&options, error);
	if (!daemon->config)
		return false;
	daemon->sources[WORK_TASK_COUNT] = config_task_task(daemon->config);
	return true;
}

static bool make_tasks(struct shallotd *daemon, GError **error)
{
	struct request_task_options request_options = {
		.settings = daemon->settings,
	};

	daemon->packets = packet_task_new(daemon->settings, error);
	if (!daemon->packets)
		return false;
	daemon->requests = request_task_new(&request_options, error);
	if (!daemon->requests)
		return false;
	daemon->work_tasks[0] = packet_task_task(daemon->packets);
	daemon->work_tasks[1] = request_task_task(daemon->requests);
	for (uint32_t i = 0; i < WORK_TASK_COUNT; i++)
		daemon->sources[i] = daemon->work_tasks[i];
	return make_admin(daemon, error) && make_config(daemon, error);
}

static bool start_tasks(struct shallotd *daemon, GError **error)
{
	for (uint32_t i = 0; i < WORK_TASK_COUNT; i++) {
		if (!task_start(daemon->work_tasks[i], error))
			return false;
	}
	if (daemon->config &&
	    !task_start(config_task_task(daemon->config), error))
		return false;
	return task_start(admin_task_task(daemon->admin), error);
}

static void post_or_free(struct task *task, struct message *message)
{
	if (task_post(task, message) != POST_TAKEN)
		message_free(message);
}

static bool load_rules(struct shallotd *daemon, GError **error)
{
	struct rule_set *rules;

	if (!daemon->settings->rules_file)
		return true;
	rules = rules_file_read(daemon->settings->rules_file, error);
	if (!rules)
		return false;
	for (uint32_t i = 0; i < WORK_TASK_COUNT; i++)
		post_or_free(daemon->work_tasks[i], rules_message_new(rules));
	rule_set_free(rules);
	post_or_free(admin_task_task(daemon->admin), ready_message_new(true));
	return true;
}

/*
 * Starts the tasks of a node. The settings must outlive it; the caller frees
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

/* Stops the tasks and frees the node; NULL is allowed. */
void shallotd_free(struct shallotd *daemon)
{
	if (!daemon)
		return;
	/* Tasks post to each other, so the last reader is freed last. */
	if (daemon->config)
		task_stop(config_task_task(daemon->config));
	admin_task_free(daemon->admin);
	config_task_free(daemon->config);
	request_task_free(daemon->requests);
	packet_task_free(daemon->packets);
	drain_task_free(daemon->drain);
	g_free(daemon);
}

/*
 * Announces that this node takes no new work and has the tasks finish or hand
 * over what they have. Fails with TASK_ERROR_RESOURCE; done never runs then.
 */
bool shallotd_drain(struct shallotd *daemon,
		    const struct shallotd_drain_options *options,
		    GError **error)
{
	struct drain_task_options drain_options = {
		.tasks = daemon->work_tasks,
		.task_count = WORK_TASK_COUNT,
		.timeout_ms = daemon->settings->drain_timeout_ms,
		.context = options->context,
		.done = options->done,
	};

	post_or_free(admin_task_task(daemon->admin), ready_message_new(false));
	daemon->drain = drain_task_new(&drain_options, error);
	return daemon->drain != NULL;
}

/* Changes how much the tasks log. */
void shallotd_set_log(struct shallotd *daemon, uint32_t level,
		      uint32_t rate_per_s)
{
	for (uint32_t i = 0; i < WORK_TASK_COUNT; i++)
		post_or_free(daemon->work_tasks[i],
			     log_settings_message_new((enum log_level)level,
						      rate_per_s));
}
