#include "node_entry.h"

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
 * expected_revision is the revision of the entry in the mirror, 0 if there is
 * none. lease_id is 0 if this process holds no lease. No call is made before
 * next_ms or while another one is pending (is_busy).
 */
struct node_entry {
	struct kv_client *client;
	struct log *log;
	char *key;
	char *value;
	int64_t lease_id;
	int64_t expected_revision;
	int64_t next_ms;
	bool is_busy;
};

/*
 * Creates a node_entry, which makes no call before its first tick. It uses the
 * client and the log but does not own them. Free it with node_entry_free.
 */
struct node_entry *node_entry_new(const struct settings *settings,
				  struct kv_client *client, struct log *log)
{
	struct node_entry *entry = g_new0(struct node_entry, 1);

	entry->client = client;
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

/*
 * Writes the entry if the mirror lacks it or has another value, else renews its
 * lease when due. An entry with the same value that an earlier process of this
 * node has written is left as it is until its lease expires.
 */
void node_entry_tick(struct node_entry *entry, const struct kv_mirror *mirror,
		     int64_t now_ms)
{
	if (entry->is_busy || now_ms < entry->next_ms)
		return;
	entry->next_ms = now_ms + RETRY_INTERVAL_MS;
	if (!is_registered(entry, mirror)) {
		if (entry->lease_id)
			write_entry(entry);
		else
			grant_lease(entry);
	} else if (entry->lease_id) {
		entry->next_ms = now_ms + KEEP_ALIVE_INTERVAL_MS;
		renew_lease(entry);
	}
}
