#include "feed_news.h"

#include <core/relay_peer.h>
#include <inttypes.h>
#include <platform/config_entry.h>
#include <platform/platform_key.h>
#include <platform/target_entry.h>
#include <string.h>
#include <wire/peer_codec.h>

/* An entry that cannot be read names no target, so the one it had is gone. */
static void add_target(struct news_message *news, const struct kv_entry *entry,
		       struct log *log)
{
	struct target_change change = {.is_gone = entry->is_deleted};
	struct target_entry decoded;

	if (!target_entry_id(&change.target.target_id, entry->key)) {
		log_write(log, LOG_LEVEL_WARNING, "entry_unreadable",
			  "revision=%" PRId64 " reason=key",
			  entry->mod_revision);
		return;
	}
	if (!change.is_gone && target_entry_decode(&decoded, entry)) {
		change.target = decoded.target;
		change.warmup_ms = decoded.warmup_ms;
	} else if (!change.is_gone) {
		change.is_gone = true;
		log_write(log, LOG_LEVEL_WARNING, "entry_unreadable",
			  "target=%" PRIx64 " revision=%" PRId64
			  " reason=value",
			  change.target.target_id, entry->mod_revision);
	}
	g_array_append_val(news->changes, change);
}

/* The last configuration that could be read stays in force. */
static void take_config(struct news_message *news, const struct kv_entry *entry,
			struct log *log)
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
	relay_route_table_free(news->routes);
	news->routes = routes;
}

static gboolean add_peer(gpointer key, gpointer value, gpointer data)
{
	const struct kv_entry *entry = value;
	struct relay_peer peer;

	if (peer_codec_decode(&peer, key, entry->value, entry->value_bytes))
		g_array_append_val((GArray *)data, peer);
	return FALSE;
}

/* The list of nodes is short, so it is told whole. */
static void list_peers(struct news_message *news,
		       const struct kv_mirror *mirror)
{
	if (news->peers)
		return;
	news->peers = g_array_new(FALSE, TRUE, sizeof(struct relay_peer));
	kv_mirror_each(mirror, add_peer, news->peers);
}

/*
 * Decodes what the store or a node has told; the mirror has taken it already.
 * The caller owns the message.
 */
struct news_message *feed_news_from(const struct kv_reply *reply, bool is_whole,
				    const struct kv_mirror *mirror,
				    struct log *log)
{
	struct news_message *news =
		news_message_new(reply->store_revision, is_whole);

	if (is_whole)
		list_peers(news, mirror);
	for (guint i = 0; i < reply->entries->len; i++) {
		const struct kv_entry *entry = kv_reply_entry(reply, i);

		if (g_str_has_prefix(entry->key, PLATFORM_KEY_TARGETS))
			add_target(news, entry, log);
		else if (strcmp(entry->key, PLATFORM_KEY_CONFIG) == 0)
			take_config(news, entry, log);
		else if (g_str_has_prefix(entry->key, PEER_KEY_PREFIX))
			list_peers(news, mirror);
	}
	return news;
}
