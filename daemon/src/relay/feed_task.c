#include "feed_task_state.h"

#include <core/endpoint_list.h>
#include <core/zone.h>
#include <daemon/drain_message.h>
#include <daemon/log_settings_message.h>
#include <daemon/metrics_message.h>
#include <daemon/task_log.h>
#include <daemon/unknown_peer_message.h>

#define MAILBOX_CAPACITY 64

/*
 * Interval at which the task checks whether to switch the source and whether
 * the node's own entry in the store must be written.
 */
#define TICK_MS 500

/* Timeout of store calls that write or renew this node's own entry. */
#define WRITE_TIMEOUT_MS 2000

static void on_retry(void *context)
{
	feed_follow_switch_source(context);
}

static void on_close(void *context)
{
	feed_follow_close_mirror(context);
}

static void on_tick(void *context)
{
	struct feed_task *feed = context;
	struct counter_set *counters = feed->counters;

	feed_follow_tick(feed);
	if (feed->is_live)
		node_entry_tick(feed->entry, feed->mirror, task_now_ms());
	feed_calls_report(&feed->calls, counters, feed->log, task_now_ms());
	counter_set_assign(counters, FEED_IS_LIVE, feed->is_live);
	counter_set_assign(counters, FEED_IS_DIRECT,
			   feed_follow_is_direct(feed));
	counter_set_assign(counters, FEED_STORE_REVISION,
			   (uint64_t)kv_mirror_revision(feed->mirror));
}

static void on_node_entry(void *context, const struct kv_entry *entry)
{
	struct feed_task *feed = context;

	node_registrar_add(feed->registrar, entry->key, entry->value,
			   entry->value_bytes);
}

static bool open_mirror(struct feed_task *feed, GError **error)
{
	struct kv_mirror_options options = {
		.base = task_base(feed->task),
		.listen = feed->options.settings->relay.listen_peers,
		.context = feed,
		.on_node_entry = on_node_entry,
	};

	feed->mirror = kv_mirror_new(&options, error);
	return feed->mirror != NULL;
}

static bool open_client(struct feed_task *feed, GError **error)
{
	struct kv_client_options options = {
		.base = task_base(feed->task),
		.server = feed->options.settings->platform.store,
		.timeout_ms = WRITE_TIMEOUT_MS,
		.timing = {feed, feed_follow_record_call},
		.counts = &feed->calls.counts,
	};

	feed->client = kv_client_new(&options, error);
	return feed->client != NULL;
}

/*
 * Replaces the ports of the seeds by the peer port, which is the same on all
 * nodes.
 */
static void set_seeds(struct feed_task *feed)
{
	const struct settings *settings = feed->options.settings;
	GArray *seeds;

	if (!settings->relay.seeds || !*settings->relay.seeds)
		return;
	seeds = endpoint_list_parse(settings->relay.seeds);
	for (guint i = 0; i < seeds->len; i++)
		g_array_index(seeds, struct endpoint, i).port =
			settings->relay.listen_peers.port;
	relay_sources_set_seeds(feed->sources, seeds);
	g_array_free(seeds, TRUE);
}

static void open_registrar(struct feed_task *feed)
{
	struct node_registrar_options options = {
		.task = feed->task,
		.client = feed->client,
		.log = feed->log,
	};

	feed->registrar = node_registrar_new(&options);
}

static struct relay_sources *new_sources(struct feed_task *feed)
{
	const struct settings *settings = feed->options.settings;
	struct relay_peer self = {
		.node_id = relay_peer_id_from_name(settings->node_name),
		.zone_id = zone_id_from_name(settings->zone),
		.link_mbps = settings->relay.link_mbps,
		.endpoint = settings->relay.listen_peers,
	};

	return relay_sources_new(&self, feed->random);
}

static bool start(void *context, struct task *task, GError **error)
{
	struct feed_task *feed = context;

	feed->task = task;
	if (!open_mirror(feed, error) || !open_client(feed, error)) {
		kv_mirror_free(feed->mirror);
		return false;
	}
	open_registrar(feed);
	feed->entry = node_entry_new(feed->options.settings, feed->client,
				     feed->registrar, feed->log);
	feed->sources = new_sources(feed);
	set_seeds(feed);
	feed->tick_timer = timer_new(task, feed, on_tick);
	feed->retry_timer = timer_new(task, feed, on_retry);
	feed->close_timer = timer_new(task, feed, on_close);
	timer_every(feed->tick_timer, TICK_MS);
	feed_follow_switch_source(feed);
	return true;
}

/*
 * Adds the peer to the seeds unless a copy of the store has been read already.
 * If there is no current source, the task selects one at once.
 */
static void handle_unknown_peer(struct feed_task *feed, struct message *message)
{
	const struct unknown_peer_message *unknown_peer =
		(const struct unknown_peer_message *)message;

	if (kv_mirror_revision(feed->mirror) != 0)
		return;
	relay_sources_add_seed(feed->sources, &unknown_peer->endpoint);
	if (feed->source.kind == RELAY_SOURCE_NONE)
		timer_once(feed->retry_timer, 0);
}

static void handle_drain(struct feed_task *feed, struct message *message)
{
	struct task *reply_to = ((struct drain_message *)message)->reply_to;
	struct message *drained = drained_message_new(feed->task);

	task_post_or_free(reply_to, drained);
}

static void handle(void *context, struct message *message)
{
	struct feed_task *feed = context;

	if (message->type == &metrics_request_type)
		metrics_request_reply_with_histograms(message, feed->counters,
						      feed->times);
	else if (message->type == &drain_message_type)
		handle_drain(feed, message);
	else if (message->type == &unknown_peer_message_type)
		handle_unknown_peer(feed, message);
	else if (message->type == &log_settings_message_type)
		log_settings_message_apply(
			(struct log_settings_message *)message, feed->log);
	message_free(message);
}

static void stop(void *context)
{
	struct feed_task *feed = context;

	feed_calls_log(&feed->calls, feed->log, task_now_ms());
	timer_free(feed->tick_timer);
	timer_free(feed->retry_timer);
	timer_free(feed->close_timer);
	feed_follow_stop(feed);
	kv_mirror_free(feed->mirror);
	kv_client_free(feed->client);
	node_entry_free(feed->entry);
	node_registrar_free(feed->registrar);
	relay_sources_free(feed->sources);
}

/*
 * Creates the task, which begins to read when it is started. Settings and sink
 * must outlive it. Free it with feed_task_free. Fails with TASK_ERROR.
 */
struct feed_task *feed_task_new(const struct feed_task_options *options,
				GError **error)
{
	struct feed_task *feed = g_new0(struct feed_task, 1);
	struct task_options task_options = {
		.name = "feed",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = feed,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	feed->options = *options;
	feed->log = task_log_new(options->settings, "feed");
	feed->counters = feed_counters_new();
	feed->times = feed_times_new();
	feed->random = g_rand_new();
	feed->is_snapshot_needed = true;
	feed->task = task_new(&task_options, error);
	if (feed->task)
		return feed;
	feed_task_free(feed);
	return NULL;
}

/* Stops the task and frees it; NULL is allowed. */
void feed_task_free(struct feed_task *feed)
{
	if (!feed)
		return;
	task_free(feed->task);
	counter_set_free(feed->counters);
	histogram_set_free(feed->times);
	log_free(feed->log);
	g_rand_free(feed->random);
	g_free(feed);
}

/* Returns the task, to start it and to post messages to it. */
struct task *feed_task_task(struct feed_task *feed)
{
	return feed->task;
}
