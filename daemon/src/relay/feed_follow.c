#include "feed_task_state.h"

#include "feed_era.h"
#include "feed_screen.h"
#include "feed_update.h"

#include <inttypes.h>
#include <platform/platform_error.h>

/* Delay before the next source is tried if a reader cannot be created. */
#define REOPEN_DELAY_MS 500

/*
 * Minimum age of a working source before the node switches to one that suits
 * its role better: a node falls back to the store because its peers have just
 * failed.
 */
#define SOURCE_MIN_AGE_MS 1000

/*
 * Delay between a reply with changes and the next watch call to the store. A
 * node that other nodes read from (a reader) pauses for less time than one that
 * has fallen back to the store and reads it only for itself, as calls to the
 * store are expensive.
 */
#define READER_PAUSE_MS 100
#define FALLBACK_PAUSE_MS 400

/*
 * Delay before a snapshot is read after PLATFORM_ERROR_COMPACTED. While the
 * store compacts its history, for a few hundred milliseconds, it may reject a
 * watch even from a revision that it has just returned.
 */
#define COMPACTED_DELAY_MS 150

/*
 * How long the followers of a relay wait while it looks for another source.
 * They would notice its silence after 1,500 ms.
 */
#define RELAY_GRACE_MS 700

/* A source that works replies to each watch call within a second. */
#define UPDATE_LATE_MS 2000

static const char *const source_names[] = {
	[RELAY_SOURCE_NONE] = "none",
	[RELAY_SOURCE_STORE] = "store",
	[RELAY_SOURCE_PEER] = "node",
};

/* Returns whether the current source is the store itself. */
bool feed_follow_is_direct(const struct feed_task *feed)
{
	return feed->source.kind == RELAY_SOURCE_STORE;
}

/* Stops reading from the current source. */
void feed_follow_stop(struct feed_task *feed)
{
	g_clear_pointer(&feed->reader, feed_reader_free);
}

static const char *source_address(const struct feed_task *feed, char *text)
{
	return feed->source.kind == RELAY_SOURCE_PEER
		       ? endpoint_format(&feed->source.endpoint, text)
		       : "store";
}

/* Ends the watches of other nodes unless the source works again. */
void feed_follow_close_mirror(struct feed_task *feed)
{
	if (!feed->is_live || !feed->source.may_serve)
		kv_mirror_set_live(feed->mirror, false);
}

/*
 * Other nodes can watch the mirror while this node has a source that allows it.
 * A relay that loses its source lets its followers wait for a moment, as it
 * will find another one sooner than each of them would.
 */
static void update_mirror(struct feed_task *feed, bool is_live)
{
	bool is_relay = relay_sources_role(feed->sources, task_now_ms()) ==
			RELAY_ROLE_RELAY;

	if (is_live && feed->source.may_serve)
		kv_mirror_set_live(feed->mirror, true);
	else if (is_relay && feed->is_live)
		timer_once(feed->close_timer, RELAY_GRACE_MS);
	else if (!is_relay)
		kv_mirror_set_live(feed->mirror, false);
}

/* Logs a change of is_live. */
static void set_live(struct feed_task *feed, bool is_live)
{
	char text[ENDPOINT_TEXT_BYTES];

	update_mirror(feed, is_live);
	if (is_live == feed->is_live)
		return;
	feed->is_live = is_live;
	log_write(feed->log, is_live ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
		  is_live ? "feed_regained" : "feed_lost",
		  "source=%s address=%s revision=%" PRId64,
		  source_names[feed->source.kind], source_address(feed, text),
		  kv_mirror_revision(feed->mirror));
}

/*
 * If the sink's mailbox is full, the update is lost, and a snapshot is needed
 * to make up for it.
 */
static void post_update(struct feed_task *feed, const struct kv_reply *reply,
			bool is_snapshot)
{
	struct store_update_message *update = feed_update_from_reply(
		reply, is_snapshot, feed->mirror, feed->log);

	counter_set_add(feed->counters, FEED_CHANGES, update->changes->len);
	if (update->peers)
		relay_sources_set_peers(feed->sources, update->peers);
	if (task_post(feed->options.sink, &update->message) == POST_ACCEPTED)
		return;
	message_free(&update->message);
	counter_set_add(feed->counters, FEED_UPDATES_NOT_POSTED, 1);
	feed->is_snapshot_needed = true;
	log_write(feed->log, LOG_LEVEL_ERROR, "news_not_posted",
		  "revision=%" PRId64, reply->store_revision);
}

/* Callback of kv_client: records the duration of a call to the store. */
void feed_follow_record_call(void *context, uint32_t duration_ms)
{
	struct feed_task *feed = context;

	histogram_set_add(feed->times, FEED_TIME_STORE_CALL, duration_ms);
}

static void record_update_gap(struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	if (feed->confirmed_ms != 0) {
		feed->update_gap_ms = (uint32_t)(now_ms - feed->confirmed_ms);
		histogram_set_add(feed->times, FEED_TIME_UPDATE_GAP,
				  feed->update_gap_ms);
	}
	feed->confirmed_ms = now_ms;
}

/*
 * Logs changes that come later than a source that works delays its replies:
 * their transfer took so long, or the source was lost in between.
 */
static void log_late_changes(struct feed_task *feed,
			     const struct kv_reply *reply)
{
	char text[ENDPOINT_TEXT_BYTES];

	if (feed->update_gap_ms >= UPDATE_LATE_MS)
		log_write(feed->log, LOG_LEVEL_NOTICE, "feed_late",
			  "source=%s address=%s gap_ms=%u bytes=%u "
			  "revision=%" PRId64,
			  source_names[feed->source.kind],
			  source_address(feed, text), feed->update_gap_ms,
			  reply->body_bytes, reply->store_revision);
}

static void on_reply(void *context)
{
	struct feed_task *feed = context;

	feed->has_replied = true;
	record_update_gap(feed);
	relay_sources_record_success(feed->sources);
	set_live(feed, true);
}

/*
 * Reports whether to watch the source after its snapshot. A node whose role is
 * to read from peers reads only the snapshot from the store.
 */
static bool should_watch(struct feed_task *feed)
{
	if (!feed_follow_is_direct(feed))
		return true;
	if (relay_sources_should_switch(feed->sources, task_now_ms())) {
		timer_once(feed->retry_timer, 0);
		return false;
	}
	on_reply(feed);
	return true;
}

static const struct kv_entry *find_previous(const void *context,
					    const char *key)
{
	return kv_mirror_find(context, key);
}

/* What is not whole gets neither into the mirror nor to other nodes. */
static struct kv_reply *screen(struct feed_task *feed,
			       const struct kv_reply *reply, bool is_snapshot)
{
	struct feed_screen_previous previous = {feed->mirror, find_previous};

	return feed_screen_reply(reply, is_snapshot, &previous, feed->log);
}

static void load_snapshot(struct feed_task *feed, const struct kv_reply *reply)
{
	struct kv_reply *screened = screen(feed, reply, true);

	feed_era_enter(feed, screened);
	kv_mirror_load(feed->mirror, screened);
	log_write(feed->log, LOG_LEVEL_NOTICE, "store_read",
		  "source=%s entries=%u revision=%" PRId64,
		  source_names[feed->source.kind], screened->entries->len,
		  screened->store_revision);
	post_update(feed, screened, true);
	kv_reply_free(screened);
}

/* A source whose snapshot is older than this node's copy counts as failed. */
static bool on_snapshot(void *context, const struct kv_reply *reply)
{
	struct feed_task *feed = context;

	if (feed_era_is_outdated(feed, reply)) {
		relay_sources_record_failure(
			feed->sources, RELAY_FAILURE_REFUSED, task_now_ms());
		timer_once(feed->retry_timer, 0);
		return false;
	}
	counter_set_add(feed->counters, FEED_SNAPSHOT_READS, 1);
	feed->has_read_snapshot = true;
	feed->is_snapshot_needed = false;
	load_snapshot(feed, reply);
	return should_watch(feed);
}

static void on_changes(void *context, const struct kv_reply *reply)
{
	struct feed_task *feed = context;

	struct kv_reply *screened = screen(feed, reply, false);

	log_late_changes(feed, reply);
	kv_mirror_apply(feed->mirror, screened);
	post_update(feed, screened, false);
	kv_reply_free(screened);
}

/*
 * A store that has compacted its history may leave a watch on an older
 * revision without a reply instead of rejecting it.
 */
static bool is_watch_without_reply(const struct feed_task *feed)
{
	return feed_follow_is_direct(feed) && !feed->has_replied &&
	       !feed->is_snapshot_needed;
}

static enum relay_failure failure_of(const GError *error)
{
	return g_error_matches(error, PLATFORM_ERROR, PLATFORM_ERROR_TIMEOUT)
		       ? RELAY_FAILURE_SILENT
		       : RELAY_FAILURE_REFUSED;
}

static bool is_source_recent(const struct feed_task *feed)
{
	return feed->has_replied &&
	       task_now_ms() - feed->source_since_ms < COMPACTED_DELAY_MS;
}

/*
 * If the source has compacted the revision to watch from, a snapshot is read
 * from the same source; otherwise the source counts as failed.
 */
static void on_ended(void *context, const GError *error)
{
	struct feed_task *feed = context;
	bool is_compacted = g_error_matches(error, PLATFORM_ERROR,
					    PLATFORM_ERROR_COMPACTED);

	char text[ENDPOINT_TEXT_BYTES];

	counter_set_add(feed->counters, FEED_SOURCE_FAILURES, 1);
	log_write(feed->log, LOG_LEVEL_INFO, "feed_ended",
		  "source=%s address=%s error=\"%s\"",
		  source_names[feed->source.kind], source_address(feed, text),
		  error->message);
	if (is_compacted || is_watch_without_reply(feed))
		feed->is_snapshot_needed = true;
	else
		relay_sources_record_failure(feed->sources, failure_of(error),
					     task_now_ms());
	timer_once(feed->retry_timer, is_compacted && is_source_recent(feed)
					      ? COMPACTED_DELAY_MS
					      : 0);
}

/*
 * Returns the delay between a reply with changes and the next watch call. No
 * other node reads from a node that is not in the list of nodes yet.
 */
static uint32_t pause_ms(const struct feed_task *feed)
{
	if (!feed_follow_is_direct(feed))
		return 0;
	return relay_sources_is_listed(feed->sources) &&
			       relay_sources_role(feed->sources,
						  task_now_ms()) ==
				       RELAY_ROLE_READER
		       ? READER_PAUSE_MS
		       : FALLBACK_PAUSE_MS;
}

static bool open_reader(struct feed_task *feed)
{
	struct feed_reader_options options = {
		.base = task_base(feed->task),
		.source = feed->source,
		.store = feed->options.settings->platform.store,
		.timeouts = *feed_timeouts_for(feed->source.kind),
		.era = kv_mirror_era(feed->mirror),
		.revision = feed->is_snapshot_needed
				    ? 0
				    : kv_mirror_revision(feed->mirror),
		.may_be_stale = !feed->has_read_snapshot,
		.timing = {feed, feed_follow_record_call},
		.store_calls = &feed->calls.counts,
		.context = feed,
		.on_snapshot = on_snapshot,
		.on_changes = on_changes,
		.on_reply = on_reply,
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
	relay_sources_record_failure(feed->sources, RELAY_FAILURE_SILENT,
				     task_now_ms());
	return false;
}

/* Stops reading, selects a source and starts to read from it. */
void feed_follow_switch_source(struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	feed_follow_stop(feed);
	feed->has_replied = false;
	set_live(feed, false);
	feed->source = relay_sources_next(feed->sources,
					  !feed->has_read_snapshot, now_ms);
	feed->source_since_ms = now_ms;
	node_registrar_set_source(feed->registrar, &feed->source);
	if (feed->source.kind == RELAY_SOURCE_NONE)
		timer_once(feed->retry_timer,
			   (uint32_t)MAX(feed->source.retry_at_ms - now_ms, 1));
	else if (!open_reader(feed))
		timer_once(feed->retry_timer, REOPEN_DELAY_MS);
}

static bool should_switch_source(const struct feed_task *feed)
{
	int64_t now_ms = task_now_ms();

	return feed->is_live &&
	       now_ms - feed->source_since_ms >= SOURCE_MIN_AGE_MS &&
	       relay_sources_should_switch(feed->sources, now_ms);
}

/*
 * Switches the source if another one is due or a snapshot is needed, and
 * updates the pause of the watch.
 */
void feed_follow_tick(struct feed_task *feed)
{
	if (should_switch_source(feed) ||
	    (feed->is_live && feed->is_snapshot_needed))
		feed_follow_switch_source(feed);
	if (feed->reader)
		feed_reader_set_pause(feed->reader, pause_ms(feed));
}
