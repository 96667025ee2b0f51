#include "feed_era.h"

#include <inttypes.h>

/* An era that is not known, 0, counts as the same. */
static bool is_other_era(const struct feed_task *feed,
			 const struct kv_reply *snapshot)
{
	int64_t era = kv_mirror_era(feed->mirror);

	return era != 0 && snapshot->era != 0 && snapshot->era != era;
}

/*
 * Returns whether a snapshot is older than this node's copy of the store. A
 * restored store has a lower revision in a higher era. The store itself is
 * taken to be current within its era.
 */
bool feed_era_is_outdated(const struct feed_task *feed,
			  const struct kv_reply *snapshot)
{
	if (is_other_era(feed, snapshot))
		return snapshot->era < kv_mirror_era(feed->mirror);
	return !feed_follow_is_direct(feed) &&
	       snapshot->store_revision < kv_mirror_revision(feed->mirror);
}

/*
 * Drops the leases if a snapshot is from a later era than the copy that it is
 * to replace: the store may give out those leases again.
 */
void feed_era_enter(struct feed_task *feed, const struct kv_reply *snapshot)
{
	if (!is_other_era(feed, snapshot))
		return;
	log_write(feed->log, LOG_LEVEL_WARNING, "store_restored",
		  "era=%" PRId64 " revision=%" PRId64 " previous_era=%" PRId64
		  " previous_revision=%" PRId64,
		  snapshot->era, snapshot->store_revision,
		  kv_mirror_era(feed->mirror),
		  kv_mirror_revision(feed->mirror));
	node_entry_drop_lease(feed->entry);
	node_registrar_drop_lease(feed->registrar);
}
