#include "node_entry.h"

#include <inttypes.h>
#include <string.h>
#include <wire/peer_codec.h>

/*
 * The longest lease that the store grants, as each renewal costs a call to the
 * store. A shorter one is not needed, because other nodes detect a failed node
 * by their calls to it.
 */
#define LEASE_TTL_S 600
#define KEEP_ALIVE_INTERVAL_MS 200000

/* Minimum interval between attempts to write the entry, which is not urgent. */
#define RETRY_INTERVAL_MS 3000

/*
 * A node that registered through another one has no lease of its own. It sends
 * its entry again well before the lease of the other one ends.
 */
#define REFRESH_INTERVAL_MS 300000

/*
 * expected_revision is the revision of the entry in the mirror, 0 if there is
 * none. lease_id is 0 if this process holds no lease. No call is made before
 * next_ms or while another one is pending (is_busy). has_asked: the entry was
 * handed to the registrar and has not been listed since. is_listed: the mirror
 * had the entry at the last tick.
 */
struct node_entry {
	struct kv_client *client;
	struct node_registrar *registrar;
	struct log *log;
	char *key;
	char *value;
	int64_t lease_id;
	int64_t expected_revision;
	int64_t next_ms;
	bool is_busy;
	bool has_asked;
	bool is_listed;
};

/*
 * Creates a node_entry, which makes no call before its first tick. It uses the
 * client and the log but does not own them. Free it with node_entry_free.
 */
struct node_entry *node_entry_new(const struct settings *settings,
				  struct kv_client *client,
				  struct node_registrar *registrar,
				  struct log *log)
{
	struct node_entry *entry = g_new0(struct node_entry, 1);

	entry->client = client;
	entry->registrar = registrar;
	entry->log = log;
	entry->key = peer_codec_key(settings->node_name);
	entry->value =
		peer_codec_encode(&settings->relay.listen_peers, settings->zone,
				  settings->relay.link_mbps);
	return entry;
}

/*
 * Frees the node_entry; NULL is allowed. The client must be freed first, as the
 * callbacks of its pending calls use the node_entry.
 */
void node_entry_free(struct node_entry *entry)
{
	if (!entry)
		return;
	g_free(entry->key);
	g_free(entry->value);
	g_free(entry);
}

/*
 * Without a reply, the write may have succeeded nevertheless; the next tick
 * finds the result in the mirror.
 */
static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct node_entry *entry = context;

	entry->is_busy = false;
	if (outcome == KV_DONE && reply->has_succeeded) {
		log_write(entry->log, LOG_LEVEL_NOTICE, "node_entered",
			  "key=%s", entry->key);
		return;
	}
	if (outcome != KV_DONE)
		entry->lease_id = 0;
	log_write(entry->log, LOG_LEVEL_NOTICE, "node_not_entered",
		  "reason=\"%s\"",
		  error ? error->message
			: "the entry was changed by another writer");
}

static void write_entry(struct node_entry *entry)
{
	struct kv_callback callback = {entry, on_written};

	entry->is_busy = true;
	kv_client_put_if(entry->client, entry->key, entry->expected_revision,
			 entry->value, (uint32_t)strlen(entry->value),
			 entry->lease_id, &callback);
}

static void on_granted(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct node_entry *entry = context;

	entry->is_busy = false;
	if (outcome != KV_DONE) {
		log_write(entry->log, LOG_LEVEL_NOTICE, "no_lease",
			  "error=\"%s\"", error->message);
		return;
	}
	entry->lease_id = reply->lease_id;
	write_entry(entry);
}

static void on_renewed(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct node_entry *entry = context;

	entry->is_busy = false;
	if (outcome == KV_DONE && reply->ttl_s == 0)
		entry->lease_id = 0;
}

static void grant_lease(struct node_entry *entry)
{
	struct kv_callback callback = {entry, on_granted};

	entry->is_busy = true;
	kv_client_grant(entry->client, LEASE_TTL_S, &callback);
}

static void renew_lease(struct node_entry *entry)
{
	struct kv_callback callback = {entry, on_renewed};

	entry->is_busy = true;
	kv_client_keep_alive(entry->client, entry->lease_id, &callback);
}

static bool is_registered(struct node_entry *entry,
			  const struct kv_mirror *mirror)
{
	const struct kv_entry *found = kv_mirror_find(mirror, entry->key);

	entry->expected_revision = found ? found->mod_revision : 0;
	return found && strcmp(found->value, entry->value) == 0;
}

static void ask_registrar(struct node_entry *entry)
{
	node_registrar_add(entry->registrar, entry->key, entry->value,
			   (uint32_t)strlen(entry->value));
}

/* The registrar is asked first; if that does not help, the store. */
static void enter(struct node_entry *entry, int64_t now_ms)
{
	entry->next_ms = now_ms + RETRY_INTERVAL_MS +
			 g_random_int_range(0, RETRY_INTERVAL_MS);
	if (!entry->has_asked) {
		entry->has_asked = true;
		ask_registrar(entry);
	} else if (entry->lease_id) {
		write_entry(entry);
	} else {
		grant_lease(entry);
	}
}

static uint32_t refresh_interval_ms(const struct node_entry *entry)
{
	return entry->lease_id ? KEEP_ALIVE_INTERVAL_MS : REFRESH_INTERVAL_MS;
}

static void refresh(struct node_entry *entry, int64_t now_ms)
{
	entry->next_ms = now_ms + refresh_interval_ms(entry);
	if (entry->lease_id)
		renew_lease(entry);
	else
		ask_registrar(entry);
}

static void set_listed(struct node_entry *entry, bool is_listed, int64_t now_ms)
{
	if (is_listed == entry->is_listed)
		return;
	entry->is_listed = is_listed;
	entry->has_asked = false;
	entry->next_ms = is_listed ? now_ms + refresh_interval_ms(entry) : 0;
	log_write(entry->log, LOG_LEVEL_NOTICE,
		  is_listed ? "node_listed" : "node_not_listed",
		  "key=%s revision=%" PRId64, entry->key,
		  entry->expected_revision);
}

/*
 * Forgets the lease, which belongs to a state of the store that is lost. If the
 * entry is lost as well, the node enters again.
 */
void node_entry_drop_lease(struct node_entry *entry)
{
	entry->lease_id = 0;
}

/*
 * Enters the node if the mirror lacks its entry or has another value, else
 * refreshes the entry when due. An entry with the same value that an earlier
 * process of this node has written is left as it is until then.
 */
void node_entry_tick(struct node_entry *entry, const struct kv_mirror *mirror,
		     int64_t now_ms)
{
	if (entry->is_busy)
		return;
	set_listed(entry, is_registered(entry, mirror), now_ms);
	if (now_ms < entry->next_ms)
		return;
	if (entry->is_listed)
		refresh(entry, now_ms);
	else
		enter(entry, now_ms);
}
