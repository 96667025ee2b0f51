#ifndef WIRE_KV_REPLY_H
#define WIRE_KV_REPLY_H

#include <glib.h>
#include <wire/kv_entry.h>

/*
 * A reply of the platform's key-value store: the store's revision and the
 * entries that were read or, if a comparison failed, the current entry. If
 * is_compacted is set, the start revision of a watch has been compacted; if
 * has_more is set, more pages of the range follow. lease_id and ttl_s are set
 * in replies to lease calls. body_bytes is the size of the reply, of all its
 * pages if it has several. era rises each time the store is restored from a
 * copy, and revisions of different eras cannot be compared; it is 0 if the
 * store reports none.
 */
struct kv_reply {
	int64_t era;
	int64_t store_revision;
	bool has_succeeded;
	bool is_compacted;
	bool has_more;
	int64_t lease_id;
	int64_t ttl_s;
	uint32_t body_bytes;
	GPtrArray *entries;
};

struct kv_reply *kv_reply_new(void);
void kv_reply_free(struct kv_reply *reply);
const struct kv_entry *kv_reply_entry(const struct kv_reply *reply,
				      uint32_t index);

#endif
