#include "node_registrar.h"

#include <inttypes.h>
#include <platform/platform_error.h>
#include <string.h>
#include <task/timer.h>

/* A store transaction has at most this many writes. */
#define BATCH_ENTRY_COUNT_MAX 32

/* Entries are collected for this long, as nodes often start together. */
#define COLLECT_MS 200

/* Entries beyond this number are dropped; their nodes send them again. */
#define PENDING_COUNT_MAX 1024

#define CALL_TIMEOUT_MS 2000

/*
 * Entries expire with their lease. A lease is used for a minute and never
 * renewed; a node sends its entry again well before the lease ends.
 */
#define LEASE_TTL_S 600
#define LEASE_USE_MS 60000

/*
 * pending has the entries that are to be sent, as struct kv_entry. peer_client
 * is open during a call to another node. No other call is made while is_busy.
 */
struct node_registrar {
	struct node_registrar_options options;
	struct timer *timer;
	struct relay_source source;
	struct kv_client *peer_client;
	GPtrArray *pending;
	int64_t lease_id;
	int64_t lease_since_ms;
	bool is_busy;
};

static void free_entry(gpointer entry)
{
	kv_entry_free(entry);
}

static void flush(void *context);

/*
 * Creates a registrar without a source, in the task that uses it. Free it with
 * node_registrar_free.
 */
struct node_registrar *
node_registrar_new(const struct node_registrar_options *options)
{
	struct node_registrar *registrar = g_new0(struct node_registrar, 1);

	registrar->options = *options;
	registrar->pending = g_ptr_array_new_with_free_func(free_entry);
	registrar->timer = timer_new(options->task, registrar, flush);
	return registrar;
}

/*
 * Frees the registrar; NULL is allowed. The client of the options must be freed
 * first, as the callbacks of its pending calls use the registrar.
 */
void node_registrar_free(struct node_registrar *registrar)
{
	if (!registrar)
		return;
	timer_free(registrar->timer);
	kv_client_free(registrar->peer_client);
	g_ptr_array_free(registrar->pending, TRUE);
	g_free(registrar);
}

/* Sets the source that this node reads from, which gets the entries. */
void node_registrar_set_source(struct node_registrar *registrar,
			       const struct relay_source *source)
{
	registrar->source = *source;
}

/* Forgets the lease, which belongs to a state of the store that is lost. */
void node_registrar_drop_lease(struct node_registrar *registrar)
{
	registrar->lease_id = 0;
}

static bool is_pending(const struct node_registrar *registrar, const char *key)
{
	for (guint i = 0; i < registrar->pending->len; i++) {
		const struct kv_entry *entry =
			g_ptr_array_index(registrar->pending, i);

		if (strcmp(entry->key, key) == 0)
			return true;
	}
	return false;
}

/* Adds an entry to those that are sent next. */
void node_registrar_add(struct node_registrar *registrar, const char *key,
			const char *value, uint32_t value_bytes)
{
	struct kv_entry *entry;

	if (is_pending(registrar, key))
		return;
	if (registrar->pending->len >= PENDING_COUNT_MAX) {
		log_write(registrar->options.log, LOG_LEVEL_WARNING,
			  "entry_not_passed_on", "key=%s reason=full", key);
		return;
	}
	entry = g_new0(struct kv_entry, 1);
	entry->key = g_strdup(key);
	entry->value = g_malloc(value_bytes + 1);
	memcpy(entry->value, value, value_bytes);
	entry->value[value_bytes] = '\0';
	entry->value_bytes = value_bytes;
	g_ptr_array_add(registrar->pending, entry);
	if (registrar->pending->len == 1)
		timer_once(registrar->timer, COLLECT_MS);
}

/* Takes the entries of the next call out of those that are pending. */
static GPtrArray *take_batch(struct node_registrar *registrar)
{
	GPtrArray *batch = g_ptr_array_new_with_free_func(free_entry);

	while (registrar->pending->len > 0 &&
	       batch->len < BATCH_ENTRY_COUNT_MAX)
		g_ptr_array_add(batch,
				g_ptr_array_steal_index(registrar->pending, 0));
	return batch;
}

static void end_call(struct node_registrar *registrar)
{
	registrar->is_busy = false;
	if (registrar->pending->len > 0)
		timer_once(registrar->timer, 0);
}

static void on_sent(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct node_registrar *registrar = context;

	if (outcome != KV_DONE) {
		registrar->lease_id = 0;
		log_write(registrar->options.log, LOG_LEVEL_NOTICE,
			  "entries_not_passed_on", "error=\"%s\"",
			  error->message);
	}
	g_clear_pointer(&registrar->peer_client, kv_client_free);
	end_call(registrar);
}

static void send_batch(struct node_registrar *registrar,
		       struct kv_client *client, int64_t lease_id)
{
	struct kv_callback callback = {registrar, on_sent};
	GPtrArray *batch = take_batch(registrar);

	registrar->is_busy = true;
	log_write(registrar->options.log, LOG_LEVEL_INFO, "entries_passed_on",
		  "count=%u lease=%" PRId64, batch->len, lease_id);
	kv_client_put_all(client, batch, lease_id, &callback);
	g_ptr_array_free(batch, TRUE);
}

static void on_granted(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct node_registrar *registrar = context;

	if (outcome == KV_DONE) {
		registrar->lease_id = reply->lease_id;
		registrar->lease_since_ms = task_now_ms();
		send_batch(registrar, registrar->options.client,
			   registrar->lease_id);
		return;
	}
	log_write(registrar->options.log, LOG_LEVEL_NOTICE, "no_lease",
		  "entries=%u error=\"%s\"", registrar->pending->len,
		  error->message);
	g_ptr_array_set_size(registrar->pending, 0);
	end_call(registrar);
}

static void send_to_store(struct node_registrar *registrar)
{
	struct kv_callback callback = {registrar, on_granted};

	if (registrar->lease_id != 0 &&
	    task_now_ms() - registrar->lease_since_ms < LEASE_USE_MS) {
		send_batch(registrar, registrar->options.client,
			   registrar->lease_id);
		return;
	}
	registrar->is_busy = true;
	kv_client_grant(registrar->options.client, LEASE_TTL_S, &callback);
}

static void send_to_peer(struct node_registrar *registrar)
{
	struct kv_client_options options = {
		.base = task_base(registrar->options.task),
		.server = registrar->source.endpoint,
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	registrar->peer_client = kv_client_new(&options, NULL);
	send_batch(registrar, registrar->peer_client, 0);
}

static void flush(void *context)
{
	struct node_registrar *registrar = context;

	if (registrar->is_busy || registrar->pending->len == 0)
		return;
	if (registrar->source.kind == RELAY_SOURCE_STORE)
		send_to_store(registrar);
	else if (registrar->source.kind == RELAY_SOURCE_PEER)
		send_to_peer(registrar);
	else
		timer_once(registrar->timer, COLLECT_MS);
}
