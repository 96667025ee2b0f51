#include "config_store.h"

#include <platform/kv_watch.h>
#include <string.h>
#include <wire/rules_document_codec.h>

/* A watch call fails without a reply in this time; a read reopens the watch. */
#define WATCH_TIMEOUT_MS 60000

/* How long the store may delay its reply to a watch call without changes. */
#define WATCH_WAIT_MS 30000

/*
 * last_document is the configuration in the newest reply, last_mod_revision the
 * revision of its entry (0 if there is none), and store_revision the revision
 * of the store at that time. is_writing: a repair is in progress.
 */
struct config_store {
	struct config_store_options options;
	struct kv_watch *watch;
	struct rules_document *last_document;
	int64_t last_mod_revision;
	int64_t store_revision;
	bool is_reading;
	bool is_writing;
	bool is_watch_wanted;
};

/*
 * Creates a config_store, which reads nothing yet. Free it with
 * config_store_free.
 */
struct config_store *
config_store_new(const struct config_store_options *options)
{
	struct config_store *store = g_new0(struct config_store, 1);

	store->options = *options;
	return store;
}

/*
 * Frees the config_store, which must happen before its client is freed; NULL is
 * allowed.
 */
void config_store_free(struct config_store *store)
{
	if (!store)
		return;
	kv_watch_free(store->watch);
	rules_document_free(store->last_document);
	g_free(store);
}

static void report_failure(struct config_store *store, const GError *error)
{
	store->options.on_failed(store->options.context,
				 error ? error->message : "unknown error");
}

static void handle_entry(struct config_store *store,
			 const struct kv_entry *entry)
{
	GError *error = NULL;
	bool is_removed = !entry || entry->is_deleted;
	struct rules_document *document = rules_document_decode(
		is_removed ? "" : entry->value,
		is_removed ? 0 : entry->value_bytes, &error);

	if (!document) {
		report_failure(store, error);
		g_error_free(error);
		return;
	}
	rules_document_free(store->last_document);
	store->last_document = document;
	store->last_mod_revision = is_removed ? 0 : entry->mod_revision;
	store->options.on_document(store->options.context, document);
}

/* Handles only the last of several changes, as each has the whole document. */
static void on_events(void *context, const struct kv_reply *reply)
{
	struct config_store *store = context;

	store->store_revision =
		MAX(store->store_revision, reply->store_revision);
	handle_entry(store, kv_reply_entry(reply, reply->entries->len - 1));
}

/*
 * Closes the watch. The next read opens another; a node that watches the store
 * also reads it about once a second.
 */
static void on_ended(void *context, const GError *error)
{
	struct config_store *store = context;

	g_clear_pointer(&store->watch, kv_watch_free);
}

/* Starts after the revision of the last read, so that no change is missed. */
static void open_watch(struct config_store *store)
{
	struct kv_watch_options options = {
		.client = store->options.client,
		.key = store->options.key,
		.start_revision = store->store_revision + 1,
		.first_wait_ms = WATCH_WAIT_MS,
		.first_timeout_ms = WATCH_TIMEOUT_MS,
		.wait_ms = WATCH_WAIT_MS,
		.timeout_ms = WATCH_TIMEOUT_MS,
		.context = store,
		.on_events = on_events,
		.on_ended = on_ended,
	};
	GError *error = NULL;

	store->watch = kv_watch_new(&options, &error);
	if (store->watch)
		return;
	report_failure(store, error);
	g_error_free(error);
}

static void on_read(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct config_store *store = context;

	store->is_reading = false;
	if (outcome != KV_DONE) {
		report_failure(store, error);
		return;
	}
	/* After a restore the store's revision is lower; watch from there. */
	if (reply->store_revision < store->store_revision)
		g_clear_pointer(&store->watch, kv_watch_free);
	store->store_revision = reply->store_revision;
	handle_entry(store, kv_reply_entry(reply, 0));
	if (store->is_watch_wanted && !store->watch)
		open_watch(store);
}

/* Starts a read unless one is in progress. */
void config_store_read(struct config_store *store)
{
	struct kv_callback callback = {store, on_read};

	if (store->is_reading)
		return;
	store->is_reading = true;
	kv_client_range(store->options.client, store->options.key, false,
			&callback);
}

/* Starts a read, which opens a watch, or closes the watch if not is_wanted. */
void config_store_watch(struct config_store *store, bool is_wanted)
{
	store->is_watch_wanted = is_wanted;
	if (is_wanted)
		config_store_read(store);
	else
		g_clear_pointer(&store->watch, kv_watch_free);
}

/* The outcome of the write may be unknown, so the store is read again. */
static void on_repaired(void *context, enum kv_outcome outcome,
			const struct kv_reply *reply, const GError *error)
{
	struct config_store *store = context;

	store->is_writing = false;
	if (outcome != KV_DONE)
		report_failure(store, error);
	config_store_read(store);
}

/*
 * Writes the local document merged with the last one read, to restore lines
 * that the store has lost. The write is a compare-and-swap on the revision that
 * was read, so that it overwrites no concurrent change.
 */
void config_store_repair(struct config_store *store,
			 const struct rules_document *local)
{
	struct kv_callback callback = {store, on_repaired};
	struct rules_document *joined;
	char *text;

	if (store->is_writing || !store->last_document)
		return;
	store->is_writing = true;
	joined = rules_document_copy(store->last_document);
	rules_document_join(joined, local);
	text = rules_document_encode(joined);
	kv_client_put_if(store->options.client, store->options.key,
			 store->last_mod_revision, text, (uint32_t)strlen(text),
			 0, &callback);
	g_free(text);
	rules_document_free(joined);
}
