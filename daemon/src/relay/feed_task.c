#include <daemon/feed_task.h>

#include "feed_counters.h"
#include "feed_news.h"
#include "feed_reader.h"
#include "node_entry.h"

#include <core/endpoint_list.h>
#include <daemon/drain_message.h>
#include <daemon/log_settings_message.h>
#include <daemon/metrics_message.h>
#include <daemon/stranger_message.h>
#include <inttypes.h>
#include <task/timer.h>
#include <unistd.h>

#define MAILBOX_CAPACITY 64

/* How often a better source is looked for, and the node's entry is checked. */
#define TICK_MS 500

/*
 * A node that had to read the store itself stays with it for a while, as those
 * that it followed have just failed, and reads it less often than a node that
 * reads for others: each call costs.
 */
#define DIRECT_LEAST_MS 1000
#define READER_PAUSE_MS 100
#define DIRECT_PAUSE_MS 400

/*
 * A store that drops its history now may call what it has just told too old;
 * it settles within a few hundred milliseconds.
 */
#define COMPACTED_PAUSE_MS 150

/* A store call that writes this node's entry. */
#define WRITE_TIMEOUT_MS 2000

struct feed_task {
	struct feed_task_options options;
	struct task *task;
	struct log *log;
	struct counter_set *counters;
	struct kv_client *client;
	struct kv_mirror *mirror;
	struct node_entry *entry;
	struct relay_sources *sources;
	struct relay_source source;
	struct feed_reader *reader;
	struct timer *tick_timer;
	struct timer *retry_timer;
	GRand *random;
	uint64_t ended_call_count;
	int64_t source_ms;
	bool is_live;
	bool is_whole_needed;
	bool has_answered;
	bool has_read;
};

static const char *const source_names[] = {
	[RELAY_SOURCE_NONE] = "none",
	[RELAY_SOURCE_STORE] = "store",
	[RELAY_SOURCE_PEER] = "node",
};

static void read_next(struct feed_task *feed);

static bool is_direct(const struct feed_task *feed)
{
	return feed->source.kind == RELAY_SOURCE_STORE;
}

static uint64_t store_call_count(const struct feed_task *feed)
{
	uint64_t count =
		feed->ended_call_count + kv_client_call_count(feed->client);

	if (feed->reader && is_direct(feed))
		count += feed_reader_call_count(feed->reader);
	return count;
}

static void end_reader(struct feed_task *feed)
{
	if (feed->reader && is_direct(feed))
		feed->ended_call_count += feed_reader_call_count(feed->reader);
	g_clear_pointer(&feed->reader, feed_reader_free);
}

static const char *source_text(const struct feed_task *feed, char *text)
{
	return feed->source.kind == RELAY_SOURCE_PEER
		       ? endpoint_format(&feed->source.endpoint, text)
		       : "store";
}

/* Only a copy that comes from the store itself is watched by others. */
static void set_live(struct feed_task *feed, bool is_live)
{
	char text[ENDPOINT_TEXT_BYTES];

	kv_mirror_set_live(feed->mirror, is_live && is_direct(feed));
	if (is_live == feed->is_live)
		return;
	feed->is_live = is_live;
	log_write(feed->log, is_live ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
		  is_live ? "feed_regained" : "feed_lost",
		  "source=%s address=%s revision=%" PRId64,
		  source_names[feed->source.kind], source_text(feed, text),
		  kv_mirror_revision(feed->mirror));
}

static void post_news(struct feed_task *feed, const struct kv_reply *reply,
		      bool is_whole)
{
	struct news_message *news =
		feed_news_from(reply, is_whole, feed->mirror, feed->log);

	counter_set_add(feed->counters, FEED_CHANGES, news->changes->len);
	if (news->peers)
		relay_sources_set_peers(feed->sources, news->peers);
	if (task_post(feed->options.sink, &news->message) == POST_TAKEN)
		return;
	message_free(&news->message);
	counter_set_add(feed->counters, FEED_NOT_POSTED, 1);
	feed->is_whole_needed = true;
	log_write(feed->log, LOG_LEVEL_ERROR, "news_not_posted",
		  "revision=%" PRId64, reply->store_revision);
}

static void on_answer(void *context)
{
	struct feed_task *feed = context;

	feed->has_answered = true;
	relay_sources_worked(feed->sources);
	set_live(feed, true);
}

/* A node that is behind what this one knows is of no use. */
static void on_whole(void *context, const struct kv_reply *reply)
{
	struct feed_task *feed = context;

	if (reply->store_revision < kv_mirror_revision(feed->mirror) &&
	    !is_direct(feed)) {
		relay_sources_failed(feed->sources, task_now_ms());
		timer_once(feed->retry_timer, 0);
		return;
	}
	counter_set_add(feed->counters, FEED_WHOLE_READS, 1);
	feed->has_read = true;
	feed->is_whole_needed = false;
	kv_mirror_load(feed->mirror, reply);
	if (is_direct(feed))
		on_answer(feed);
	log_write(feed->log, LOG_LEVEL_NOTICE, "store_read",
		  "source=%s entries=%u revision=%" PRId64,
		  source_names[feed->source.kind], reply->entries->len,
		  reply->store_revision);
	post_news(feed, reply, true);
}

static void on_changes(void *context, const struct kv_reply *reply)
{
	struct feed_task *feed = context;

	kv_mirror_apply(feed->mirror, reply);
	post_news(feed, reply, false);
}

/* A store that drops its history may leave a watch behind it unanswered. */
static bool is_watch_unanswered(const struct feed_task *feed)
{
	return is_direct(feed) && !feed->has_answered && !feed->is_whole_needed;
}

static bool is_reading_fresh(const struct feed_task *feed)
{
	return feed->has_answered &&
	       task_now_ms() - feed->source_ms < COMPACTED_PAUSE_MS;
}

/* A source that has forgotten its history is read whole, the same one. */
static void on_ended(void *context, bool is_compacted)
{
	struct feed_task *feed = context;

	char text[ENDPOINT_TEXT_BYTES];

	counter_set_add(feed->counters, FEED_LOST, 1);
	log_write(feed->log, LOG_LEVEL_INFO, "feed_ended",
		  "source=%s address=%s reason=%s",
		  source_names[feed->source.kind], source_text(feed, text),
		  is_compacted ? "compacted" : "no_answer");
	if (is_compacted || is_watch_unanswered(feed))
		feed->is_whole_needed = true;
	else
		relay_sources_failed(feed->sources, task_now_ms());
	timer_once(feed->retry_timer, is_compacted && is_reading_fresh(feed)
					      ? COMPACTED_PAUSE_MS
					      : 0);
}

/* A node that others cannot know yet reads for itself alone. */
static uint32_t pause_ms(const struct feed_task *feed)
{
	if (!is_direct(feed))
		return 0;
	return relay_sources_is_listed(feed->sources) &&
			       relay_sources_is_reader(feed->sources,
						       task_now_ms())
		       ? READER_PAUSE_MS
		       : DIRECT_PAUSE_MS;
}

static bool open_reader(struct feed_task *feed)
{
	struct feed_reader_options options = {
		.base = task_base(feed->task),
		.source = feed->source,
		.store = feed->options.settings->platform.store,
		.revision = feed->is_whole_needed
				    ? 0
				    : kv_mirror_revision(feed->mirror),
		.may_be_stale = !feed->has_read,
		.context = feed,
		.on_whole = on_whole,
		.on_changes = on_changes,
		.on_answer = on_answer,
		.on_ended = on_ended,
	};
	GError *error = NULL;

	feed->reader = feed_reader_new(&options, &error);
	if (feed->reader) {
		feed_reader_set_pause(feed->reader, pause_ms(feed));
		return true;
	}
	log_write(feed->log, LOG_LEVEL_ERROR, "feed_not_opened", "error=\"%s\"",
		  error->message);
	g_error_free(error);
	relay_sources_failed(feed->sources, task_now_ms());
	return false;
}

static void read_next(struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	end_reader(feed);
	feed->has_answered = false;
	set_live(feed, false);
	feed->source = relay_sources_next(feed->sources, now_ms);
	feed->source_ms = now_ms;
	if (feed->source.kind == RELAY_SOURCE_NONE)
		timer_once(feed->retry_timer,
			   (uint32_t)MAX(feed->source.retry_ms - now_ms, 1));
	else if (!open_reader(feed))
		timer_once(feed->retry_timer, TICK_MS);
}

static void on_retry(void *context)
{
	read_next(context);
}

/*
 * After trouble a node may read the store though others do that for it, or
 * read from a node though others rely on it to read the store.
 */
static bool is_better_elsewhere(const struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	return feed->is_live && now_ms - feed->source_ms >= DIRECT_LEAST_MS &&
	       is_direct(feed) !=
		       relay_sources_is_reader(feed->sources, now_ms);
}

static void on_tick(void *context)
{
	struct feed_task *feed = context;
	struct counter_set *counters = feed->counters;

	if (is_better_elsewhere(feed) ||
	    (feed->is_live && feed->is_whole_needed))
		read_next(feed);
	if (feed->reader)
		feed_reader_set_pause(feed->reader, pause_ms(feed));
	if (feed->is_live)
		node_entry_tick(feed->entry, feed->mirror, task_now_ms());
	counter_set_assign(counters, FEED_STORE_CALLS, store_call_count(feed));
	counter_set_assign(counters, FEED_IS_LIVE, feed->is_live);
	counter_set_assign(counters, FEED_IS_DIRECT, is_direct(feed));
	counter_set_assign(counters, FEED_REVISION,
			   (uint64_t)kv_mirror_revision(feed->mirror));
}

static bool open_mirror(struct feed_task *feed, GError **error)
{
	struct kv_mirror_options options = {
		.base = task_base(feed->task),
		.listen = feed->options.settings->relay.listen_peers,
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
	};

	feed->client = kv_client_new(&options, error);
	return feed->client != NULL;
}

/* Seeds name nodes by another of their ports; the port for peers is the same
 * on all. */
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

static bool start(void *context, struct task *task, GError **error)
{
	struct feed_task *feed = context;

	feed->task = task;
	if (!open_mirror(feed, error) || !open_client(feed, error)) {
		kv_mirror_free(feed->mirror);
		return false;
	}
	feed->entry =
		node_entry_new(feed->options.settings, feed->client, feed->log);
	feed->sources = relay_sources_new(
		relay_peer_id_from_name(feed->options.settings->node_name),
		feed->random);
	set_seeds(feed);
	feed->tick_timer = timer_new(task, feed, on_tick);
	feed->retry_timer = timer_new(task, feed, on_retry);
	timer_every(feed->tick_timer, TICK_MS);
	read_next(feed);
	return true;
}

/* While a source answers or is being asked, the stranger waits its turn. */
static void take_stranger(struct feed_task *feed, struct message *message)
{
	const struct stranger_message *stranger =
		(const struct stranger_message *)message;

	if (kv_mirror_revision(feed->mirror) != 0)
		return;
	relay_sources_add_seed(feed->sources, &stranger->endpoint);
	if (feed->source.kind == RELAY_SOURCE_NONE)
		timer_once(feed->retry_timer, 0);
}

static void drain(struct feed_task *feed, struct message *message)
{
	struct task *reply_to = ((struct drain_message *)message)->reply_to;
	struct message *drained = drained_message_new(feed->task);

	if (task_post(reply_to, drained) != POST_TAKEN)
		message_free(drained);
}

static void handle(void *context, struct message *message)
{
	struct feed_task *feed = context;

	if (message->type == &metrics_request_type)
		metrics_request_answer(message, feed->counters);
	else if (message->type == &drain_message_type)
		drain(feed, message);
	else if (message->type == &stranger_message_type)
		take_stranger(feed, message);
	else if (message->type == &log_settings_message_type)
		log_settings_message_apply(
			(struct log_settings_message *)message, feed->log);
	message_free(message);
}

static void stop(void *context)
{
	struct feed_task *feed = context;

	timer_free(feed->tick_timer);
	timer_free(feed->retry_timer);
	end_reader(feed);
	kv_mirror_free(feed->mirror);
	kv_client_free(feed->client);
	node_entry_free(feed->entry);
	relay_sources_free(feed->sources);
}

/*
 * Makes the task; it starts reading when it starts. Settings and sink must
 * outlive it; the caller frees it with feed_task_free. Fails with TASK_ERROR.
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
	struct log_options log_options = {
		.program = "shallotd",
		.task = "feed",
		.level = (enum log_level)options->settings->log_level,
		.rate_per_s = options->settings->log_rate_per_s,
		.fd = STDOUT_FILENO,
	};

	feed->options = *options;
	feed->log = log_new(&log_options);
	feed->counters = feed_counters_new();
	feed->random = g_rand_new();
	feed->is_whole_needed = true;
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
	log_free(feed->log);
	g_rand_free(feed->random);
	g_free(feed);
}

/* Returns the task, to start it and to post messages to it. */
struct task *feed_task_task(struct feed_task *feed)
{
	return feed->task;
}
