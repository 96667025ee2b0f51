#include "feed_screen.h"

#include <inttypes.h>
#include <platform/platform_key.h>
#include <platform/target_entry.h>

/*
 * Returns whether an entry may be used. Others can write below the keys of the
 * targets too, and what cannot be decoded is not a target's own word.
 */
static bool is_whole(const struct kv_entry *entry)
{
	struct target_entry decoded;

	return entry->is_deleted ||
	       !g_str_has_prefix(entry->key, PLATFORM_KEY_TARGETS) ||
	       target_entry_decode(&decoded, entry);
}

static void log_unreadable(struct log *log, const struct kv_entry *entry)
{
	uint64_t target_id = 0;
	bool has_id = target_entry_parse_id(&target_id, entry->key);

	log_write(log, LOG_LEVEL_WARNING, "entry_unreadable",
		  "target=%" PRIx64 " revision=%" PRId64 " reason=%s",
		  target_id, entry->mod_revision, has_id ? "value" : "key");
}

/*
 * Returns a copy of a reply without the entries that are not whole. As a
 * snapshot lists all entries, it gets the previous entry of such a key instead,
 * if there is one, so that the target does not count as removed. Free the copy
 * with kv_reply_free.
 */
struct kv_reply *feed_screen_reply(const struct kv_reply *reply,
				   bool is_snapshot,
				   const struct feed_screen_previous *previous,
				   struct log *log)
{
	struct kv_reply *screened = kv_reply_new();
	GPtrArray *entries = screened->entries;

	*screened = *reply;
	screened->entries = entries;
	for (guint i = 0; i < reply->entries->len; i++) {
		const struct kv_entry *entry = kv_reply_entry(reply, i);

		if (!is_whole(entry)) {
			log_unreadable(log, entry);
			entry = is_snapshot ? previous->find(previous->context,
							     entry->key)
					    : NULL;
		}
		if (entry)
			g_ptr_array_add(entries, kv_entry_copy(entry));
	}
	return screened;
}
