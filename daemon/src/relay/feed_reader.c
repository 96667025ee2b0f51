#include "feed_reader.h"

#include <platform/kv_watch.h>
#include <platform/platform_error.h>

/* The empty prefix matches every key. */
#define ALL_KEYS ""

/* wait_ms of the first call of a watch: the source replies at once. */
#define FIRST_WAIT_MS 1

struct feed_reader {
	struct feed_reader_options options;
	struct kv_client *client;
	struct kv_watch *watch;
	uint32_t pause_ms;
};

static void on_watch_ended(void *context, const GError *error)
{
	struct feed_reader *reader = context;

	reader->options.on_ended(reader->options.context, error);
}

static void on_watch_events(void *context, const struct kv_reply *reply)
{
	struct feed_reader *reader = context;

	reader->options.on_changes(reader->options.context, reply);
}

static void on_watch_reply(void *context)
{
	struct feed_reader *reader = context;

	reader->options.on_reply(reader->options.context);
}

static bool open_watch(struct feed_reader *reader, int64_t era,
		       int64_t revision, uint32_t first_wait_ms,
		       uint32_t first_timeout_ms, GError **error)
{
	const struct feed_timeouts *timeouts = &reader->options.timeouts;
	struct kv_watch_options options = {
		.client = reader->client,
		.key = ALL_KEYS,
		.is_prefix = true,
		.era = era,
		.start_revision = revision + 1,
		.first_wait_ms = first_wait_ms,
		.first_timeout_ms = first_timeout_ms,
		.wait_ms = timeouts->wait_ms,
		.pause_ms = reader->pause_ms,
		.timeout_ms = timeouts->watch_timeout_ms,
		.context = reader,
		.on_reply = on_watch_reply,
		.on_events = on_watch_events,
		.on_ended = on_watch_ended,
	};

	reader->watch = kv_watch_new(&options, error);
	return reader->watch != NULL;
}

/*
 * Watches from the revision of a snapshot. A peer whose copy is not live
 * may return an outdated snapshot but rejects watches, so the first call to a
 * peer returns at once, to show whether its copy is live.
 */
static bool watch_after_snapshot(struct feed_reader *reader,
				 const struct kv_reply *snapshot,
				 GError **error)
{
	const struct feed_timeouts *timeouts = &reader->options.timeouts;

	if (reader->options.source.kind == RELAY_SOURCE_PEER)
		return open_watch(reader, snapshot->era,
				  snapshot->store_revision, FIRST_WAIT_MS,
				  timeouts->first_timeout_ms, error);
	return open_watch(reader, snapshot->era, snapshot->store_revision,
			  timeouts->wait_ms, timeouts->watch_timeout_ms, error);
}

static void on_read(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct feed_reader *reader = context;
	GError *cause = NULL;

	if (outcome != KV_DONE)
		cause = g_error_copy(error);
	else if (reply->store_revision <= 0)
		cause = g_error_new_literal(PLATFORM_ERROR,
					    PLATFORM_ERROR_MALFORMED,
					    "the reply has no revision");
	else if (reader->options.on_snapshot(reader->options.context, reply))
		watch_after_snapshot(reader, reply, &cause);
	if (cause)
		reader->options.on_ended(reader->options.context, cause);
	g_clear_error(&cause);
}

static bool start(struct feed_reader *reader, GError **error)
{
	struct kv_callback callback = {reader, on_read};

	if (reader->options.revision != 0)
		return open_watch(reader, reader->options.era,
				  reader->options.revision, FIRST_WAIT_MS,
				  reader->options.timeouts.first_timeout_ms,
				  error);
	if (reader->options.may_be_stale)
		kv_client_range_stale(reader->client, ALL_KEYS, &callback);
	else
		kv_client_range(reader->client, ALL_KEYS, true, &callback);
	return true;
}

/*
 * Starts reading. Free the reader with feed_reader_free, also after on_ended.
 * Fails with PLATFORM_ERROR.
 */
struct feed_reader *feed_reader_new(const struct feed_reader_options *options,
				    GError **error)
{
	struct feed_reader *reader = g_new0(struct feed_reader, 1);
	bool is_store = options->source.kind == RELAY_SOURCE_STORE;
	struct kv_client_options client = {
		.base = options->base,
		.server = is_store ? options->store : options->source.endpoint,
		.timeout_ms = options->timeouts.read_timeout_ms,
		.accepts_compressed = !is_store,
	};

	if (is_store) {
		client.timing = options->timing;
		client.counts = options->store_calls;
	}
	reader->options = *options;
	reader->client = kv_client_new(&client, error);
	if (reader->client && start(reader, error))
		return reader;
	feed_reader_free(reader);
	return NULL;
}

/*
 * Sets how long the watch pauses after changes, so that one call returns
 * several of them. The default is 0.
 */
void feed_reader_set_pause(struct feed_reader *reader, uint32_t pause_ms)
{
	reader->pause_ms = pause_ms;
	if (reader->watch)
		kv_watch_set_pause(reader->watch, pause_ms);
}

/* Stops reading and frees the reader; NULL is allowed. */
void feed_reader_free(struct feed_reader *reader)
{
	if (!reader)
		return;
	kv_watch_free(reader->watch);
	kv_client_free(reader->client);
	g_free(reader);
}
