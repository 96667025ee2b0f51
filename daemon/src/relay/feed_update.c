#include "feed_update.h"

#include <core/relay_peer.h>
#include <inttypes.h>
#include <platform/config_entry.h>
#include <platform/evacuation_key.h>
#include <platform/platform_key.h>
#include <platform/target_entry.h>
#include <string.h>
#include <wire/peer_codec.h>

/* An entry that cannot be decoded changes nothing; feed_screen logs it. */
static void add_target(struct store_update_message *update,
		       const struct kv_entry *entry)
{
	struct target_change change = {.is_removed = entry->is_deleted};
	struct target_entry decoded;

	if (!target_entry_parse_id(&change.target.target_id, entry->key))
		return;
	if (!change.is_removed) {
		if (!target_entry_decode(&decoded, entry))
			return;
		change.target = decoded.target;
		change.warmup_ms = decoded.warmup_ms;
	}
	g_array_append_val(update->changes, change);
}

/*
 * If the entry of the configuration is deleted or cannot be decoded, the
 * previous configuration stays in force.
 */
static void decode_config(struct store_update_message *update,
			  const struct kv_entry *entry, struct log *log)
{
	GError *error = NULL;
	struct relay_route_table *routes;

	if (entry->is_deleted)
		return;
	routes = config_entry_decode(entry, &error);
	if (!routes) {
		log_write(log, LOG_LEVEL_ERROR, "config_unreadable",
			  "revision=%" PRId64 " error=\"%s\"",
			  entry->mod_revision, error->message);
		g_error_free(error);
		return;
	}
	relay_route_table_free(update->routes);
	update->routes = routes;
}

static gboolean add_peer(gpointer key, gpointer value, gpointer data)
{
	const struct kv_entry *entry = value;
	struct relay_peer peer;

	if (peer_codec_decode(&peer, key, entry->value, entry->value_bytes))
		g_array_append_val((GArray *)data, peer);
	return FALSE;
}

/* The list of nodes is short, so an update with a change carries all of it. */
static void add_all_peers(struct store_update_message *update,
			  const struct kv_mirror *mirror)
{
	if (update->peers)
		return;
	update->peers = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));
	kv_mirror_foreach(mirror, add_peer, update->peers);
}

static gboolean add_evacuation(gpointer key, gpointer value, gpointer data)
{
	struct zone zone;

	if (evacuation_key_parse(&zone, key))
		g_array_append_val((GArray *)data, zone);
	return FALSE;
}

static void add_all_evacuations(struct store_update_message *update,
				const struct kv_mirror *mirror)
{
	if (update->evacuations)
		return;
	update->evacuations = g_array_new(FALSE, TRUE, sizeof(struct zone));
	kv_mirror_foreach(mirror, add_evacuation, update->evacuations);
}

/*
 * Makes a message from a screened reply of the store or of a peer, which must
 * have been applied to the mirror before. Free the message with message_free,
 * or post it.
 */
struct store_update_message *
feed_update_from_reply(const struct kv_reply *reply, bool is_snapshot,
		       const struct kv_mirror *mirror, struct log *log)
{
	struct store_update_message *update =
		store_update_message_new(reply->store_revision, is_snapshot);

	if (is_snapshot) {
		add_all_peers(update, mirror);
		add_all_evacuations(update, mirror);
	}
	for (guint i = 0; i < reply->entries->len; i++) {
		const struct kv_entry *entry = kv_reply_entry(reply, i);

		if (g_str_has_prefix(entry->key, PLATFORM_KEY_TARGETS))
			add_target(update, entry);
		else if (strcmp(entry->key, PLATFORM_KEY_CONFIG) == 0)
			decode_config(update, entry, log);
		else if (g_str_has_prefix(entry->key, PEER_KEY_PREFIX))
			add_all_peers(update, mirror);
		else if (g_str_has_prefix(entry->key, PLATFORM_KEY_EVACUATIONS))
			add_all_evacuations(update, mirror);
	}
	return update;
}
