#include "feed_task_state.h"

#include "feed_news.h"

#include <inttypes.h>
#include <platform/platform_error.h>

/* After an event base had no room for a reader. */
#define REOPEN_PAUSE_MS 500

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

static const char *const source_names[] = {
	[RELAY_SOURCE_NONE] = "none",
	[RELAY_SOURCE_STORE] = "store",
	[RELAY_SOURCE_PEER] = "node",
};

/* Tells whether the store itself is read. */
bool feed_follow_is_direct(const struct feed_task *feed)
{
	return feed->source.kind == RELAY_SOURCE_STORE;
}

/* Returns how many calls the store has had from this node. */
uint64_t feed_follow_call_count(const struct feed_task *feed)
{
	uint64_t count =
		feed->ended_call_count + kv_client_call_count(feed->client);

	if (feed->reader && feed_follow_is_direct(feed))
		count += feed_reader_call_count(feed->reader);
	return count;
}

/* Stops reading. */
void feed_follow_end(struct feed_task *feed)
{
	if (feed->reader && feed_follow_is_direct(feed))
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

	kv_mirror_set_live(feed->mirror,
			   is_live && feed_follow_is_direct(feed));
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

/* Counts how long a call to the store took. */
void feed_follow_call_ended(void *context, uint32_t duration_ms)
{
	struct feed_task *feed = context;

	histogram_set_add(feed->times, FEED_TIME_STORE_CALL, duration_ms);
}

static void note_gap(struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	if (feed->current_ms != 0)
		histogram_set_add(feed->times, FEED_TIME_NEWS_GAP,
				  now_ms - feed->current_ms);
	feed->current_ms = now_ms;
}

static void on_answer(void *context)
{
	struct feed_task *feed = context;

	feed->has_answered = true;
	note_gap(feed);
	relay_sources_record_success(feed->sources);
	set_live(feed, true);
}

/* A node that is behind what this one knows is of no use. */
static void on_whole(void *context, const struct kv_reply *reply)
{
	struct feed_task *feed = context;

	if (reply->store_revision < kv_mirror_revision(feed->mirror) &&
	    !feed_follow_is_direct(feed)) {
		relay_sources_record_failure(feed->sources, task_now_ms());
		timer_once(feed->retry_timer, 0);
		return;
	}
	counter_set_add(feed->counters, FEED_WHOLE_READS, 1);
	feed->has_read = true;
	feed->is_whole_needed = false;
	kv_mirror_load(feed->mirror, reply);
	if (feed_follow_is_direct(feed))
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
	return feed_follow_is_direct(feed) && !feed->has_answered &&
	       !feed->is_whole_needed;
}

static bool is_reading_fresh(const struct feed_task *feed)
{
	return feed->has_answered &&
	       task_now_ms() - feed->source_ms < COMPACTED_PAUSE_MS;
}

/* A source that has forgotten its history is read whole, the same one. */
static void on_ended(void *context, const GError *error)
{
	struct feed_task *feed = context;
	bool is_compacted = g_error_matches(error, PLATFORM_ERROR,
					    PLATFORM_ERROR_COMPACTED);

	char text[ENDPOINT_TEXT_BYTES];

	counter_set_add(feed->counters, FEED_LOST, 1);
	log_write(feed->log, LOG_LEVEL_INFO, "feed_ended",
		  "source=%s address=%s error=\"%s\"",
		  source_names[feed->source.kind], source_text(feed, text),
		  error->message);
	if (is_compacted || is_watch_unanswered(feed))
		feed->is_whole_needed = true;
	else
		relay_sources_record_failure(feed->sources, task_now_ms());
	timer_once(feed->retry_timer, is_compacted && is_reading_fresh(feed)
					      ? COMPACTED_PAUSE_MS
					      : 0);
}

/* A node that others cannot know yet reads for itself alone. */
static uint32_t pause_ms(const struct feed_task *feed)
{
	if (!feed_follow_is_direct(feed))
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
		.timing = {feed, feed_follow_call_ended},
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
	relay_sources_record_failure(feed->sources, task_now_ms());
	return false;
}

/* Goes over to the source that is to be read now. */
void feed_follow_next(struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	feed_follow_end(feed);
	feed->has_answered = false;
	set_live(feed, false);
	feed->source = relay_sources_next(feed->sources, now_ms);
	feed->source_ms = now_ms;
	if (feed->source.kind == RELAY_SOURCE_NONE)
		timer_once(feed->retry_timer,
			   (uint32_t)MAX(feed->source.retry_ms - now_ms, 1));
	else if (!open_reader(feed))
		timer_once(feed->retry_timer, REOPEN_PAUSE_MS);
}

/*
 * After trouble a node may read the store though others do that for it, or
 * read from a node though others rely on it to read the store.
 */
static bool is_better_elsewhere(const struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	return feed->is_live && now_ms - feed->source_ms >= DIRECT_LEAST_MS &&
	       feed_follow_is_direct(feed) !=
		       relay_sources_is_reader(feed->sources, now_ms);
}

/* Looks for a better source, and says how often this one is asked. */
void feed_follow_tick(struct feed_task *feed)
{
	if (is_better_elsewhere(feed) ||
	    (feed->is_live && feed->is_whole_needed))
		feed_follow_next(feed);
	if (feed->reader)
		feed_reader_set_pause(feed->reader, pause_ms(feed));
}
