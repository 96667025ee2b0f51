#include "zone_watch.h"

/* With one member, a partitioned zone looks the same as a failed node. */
#define ZONE_MEMBER_COUNT_MIN 2

/*
 * A zone counts as partitioned if more than 1/2 of its members are suspect, and
 * as healed when at most 1/4 are. The gap prevents flapping.
 */
#define PARTITION_MEMBER_DIVISOR 2
#define HEAL_MEMBER_DIVISOR 4

struct zone_watch {
	/* By zone id: when the zone became partitioned. */
	GHashTable *partitioned_since_ms;
	uint32_t timeout_ms;
};

/* The number of serving members of a zone, and of the suspects among them. */
struct zone_counts {
	uint32_t member_count;
	uint32_t suspect_count;
};

/*
 * Creates a watch that declares a zone lost after it was partitioned for
 * timeout_ms. Free it with zone_watch_free.
 */
struct zone_watch *zone_watch_new(uint32_t timeout_ms)
{
	struct zone_watch *watch = g_new0(struct zone_watch, 1);

	watch->timeout_ms = timeout_ms;
	watch->partitioned_since_ms = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
	return watch;
}

/* Frees a watch; NULL is allowed. */
void zone_watch_free(struct zone_watch *watch)
{
	if (!watch)
		return;
	g_hash_table_destroy(watch->partitioned_since_ms);
	g_free(watch);
}

static int64_t *partitioned_since(const struct zone_watch *watch,
				  uint32_t zone_id)
{
	return g_hash_table_lookup(watch->partitioned_since_ms,
				   GUINT_TO_POINTER(zone_id));
}

/* Returns whether the zone is partitioned from this node. */
bool zone_watch_is_partitioned(const struct zone_watch *watch, uint32_t zone_id)
{
	return partitioned_since(watch, zone_id) != NULL;
}

/* Returns whether the zone has been partitioned for at least timeout_ms. */
bool zone_watch_has_timeout_expired(const struct zone_watch *watch,
				    uint32_t zone_id, int64_t now_ms)
{
	const int64_t *since_ms = partitioned_since(watch, zone_id);

	return since_ms && now_ms - *since_ms >= watch->timeout_ms;
}

static struct zone_counts count_zone(const struct member_table *table,
				     uint32_t zone_id)
{
	struct zone_counts counts = {.member_count = 0};

	for (uint32_t i = 0; i < member_table_count(table); i++) {
		const struct member *member = member_table_at(table, i);

		if (member->node.zone_id != zone_id ||
		    member->node.state != NODE_SERVING)
			continue;
		counts.member_count++;
		counts.suspect_count += member->is_suspect;
	}
	return counts;
}

static enum zone_change mark_partitioned(struct zone_watch *watch,
					 uint32_t zone_id, int64_t now_ms)
{
	int64_t *since_ms = g_new(int64_t, 1);

	*since_ms = now_ms;
	g_hash_table_insert(watch->partitioned_since_ms,
			    GUINT_TO_POINTER(zone_id), since_ms);
	return ZONE_PARTITIONED;
}

/*
 * Recomputes the state of a zone. Call it when a suspicion of one of its
 * members begins or ends, and when zone_watch_has_timeout_expired returns true.
 */
enum zone_change zone_watch_update(struct zone_watch *watch,
				   const struct member_table *table,
				   uint32_t zone_id, int64_t now_ms)
{
	struct zone_counts counts = count_zone(table, zone_id);
	const int64_t *since_ms = partitioned_since(watch, zone_id);
	enum zone_change change;

	if (!since_ms) {
		if (counts.member_count < ZONE_MEMBER_COUNT_MIN ||
		    counts.suspect_count * PARTITION_MEMBER_DIVISOR <=
			    counts.member_count)
			return ZONE_UNCHANGED;
		return mark_partitioned(watch, zone_id, now_ms);
	}
	if (counts.suspect_count * HEAL_MEMBER_DIVISOR <= counts.member_count)
		change = ZONE_HEALED;
	else if (zone_watch_has_timeout_expired(watch, zone_id, now_ms))
		change = ZONE_LOST;
	else
		return ZONE_UNCHANGED;
	g_hash_table_remove(watch->partitioned_since_ms,
			    GUINT_TO_POINTER(zone_id));
	return change;
}

/* Restarts the timeout of each zone, after a pause of this node. */
void zone_watch_restart_timeouts(struct zone_watch *watch, int64_t now_ms)
{
	GHashTableIter iter;
	int64_t *since_ms;

	g_hash_table_iter_init(&iter, watch->partitioned_since_ms);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&since_ms))
		*since_ms = now_ms;
}
