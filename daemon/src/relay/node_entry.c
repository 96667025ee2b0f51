#include "node_entry.h"

#include <string.h>
#include <wire/peer_codec.h>

/*
 * The longest lease that the store grants: a node that is gone is found out by
 * asking it, and each renewal costs a call.
 */
#define LEASE_TTL_S 600
#define KEEP_ALIVE_INTERVAL_MS 200000

/* After a call that failed; the entry is not urgent. */
#define RETRY_INTERVAL_MS 3000

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

/* Makes the keeper; client and log must outlive it. */
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

/* Frees the keeper after its client; NULL is allowed. */
void node_entry_free(struct node_entry *entry)
{
	if (!entry)
		return;
	g_free(entry->key);
	g_free(entry->value);
	g_free(entry);
}

/* Whatever a lost answer leaves open, the watch shows what stands there. */
static void on_written(void *context, enum kv_outcome outcome,
		       const struct kv_reply *reply, const GError *error)
{
	struct node_entry *entry = context;

	entry->is_busy = false;
	if (outcome == KV_DONE && reply->is_succeeded) {
		log_write(entry->log, LOG_LEVEL_NOTICE, "node_entered",
			  "key=%s", entry->key);
		return;
	}
	if (outcome != KV_DONE)
		entry->lease_id = 0;
	log_write(entry->log, LOG_LEVEL_NOTICE, "node_not_entered",
		  "reason=\"%s\"",
		  error ? error->message : "changed by another");
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

static void on_kept(void *context, enum kv_outcome outcome,
		    const struct kv_reply *reply, const GError *error)
{
	struct node_entry *entry = context;

	entry->is_busy = false;
	if (outcome == KV_DONE && reply->ttl_s == 0)
		entry->lease_id = 0;
}

static void grant(struct node_entry *entry)
{
	struct kv_callback callback = {entry, on_granted};

	entry->is_busy = true;
	kv_client_grant(entry->client, LEASE_TTL_S, &callback);
}

static void keep(struct node_entry *entry)
{
	struct kv_callback callback = {entry, on_kept};

	entry->is_busy = true;
	kv_client_keep_alive(entry->client, entry->lease_id, &callback);
}

static bool is_entered(struct node_entry *entry, const struct kv_mirror *mirror)
{
	const struct kv_entry *found = kv_mirror_find(mirror, entry->key);

	entry->expected_revision = found ? found->mod_revision : 0;
	return found && strcmp(found->value, entry->value) == 0;
}

/*
 * Does what is due; the mirror shows what the store holds. An entry that an
 * earlier process of this node left stands until that one's lease ends.
 */
void node_entry_tick(struct node_entry *entry, const struct kv_mirror *mirror,
		     int64_t now_ms)
{
	if (entry->is_busy || now_ms < entry->next_ms)
		return;
	entry->next_ms = now_ms + RETRY_INTERVAL_MS;
	if (!is_entered(entry, mirror)) {
		if (entry->lease_id)
			write_entry(entry);
		else
			grant(entry);
	} else if (entry->lease_id) {
		entry->next_ms = now_ms + KEEP_ALIVE_INTERVAL_MS;
		keep(entry);
	}
}
