#include <core/relay_directory.h>

#include "relay_service_index.h"

#include <core/relay_tag.h>

/*
 * How long a target without an entry in the store still gets new flows. An
 * entry whose lease expired while the store was unavailable exists again within
 * 2 s of the store's return if its target is alive.
 */
#define NEW_FLOW_GRACE_MS 2000

/*
 * How long a removed target is kept for the packets of its flows, which last
 * for at most 60 s.
 */
#define REMOVED_RETENTION_MS 70000

/*
 * These have at least the targets with open flows of this node, those whose
 * warm-up runs, and those without an entry in the store.
 */
enum set_kind {
	SET_USED,
	SET_WARMING,
	SET_REMOVED,
	SET_COUNT,
};

/*
 * by_service maps a service id to its index; by_tag owns the targets. seed
 * sets the order of the targets in the pools.
 */
struct relay_directory {
	GHashTable *by_tag;
	GHashTable *by_service;
	struct relay_target_set sets[SET_COUNT];
	uint64_t seed;
};

static void free_index(gpointer index)
{
	relay_service_index_free(index);
}

/* Creates an empty directory. Free it with relay_directory_free. */
struct relay_directory *relay_directory_new(void)
{
	struct relay_directory *directory = g_new0(struct relay_directory, 1);

	directory->by_tag = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						  NULL, g_free);
	directory->by_service = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_index);
	for (uint32_t i = 0; i < SET_COUNT; i++)
		relay_target_set_init(&directory->sets[i], (uint8_t)(1 << i));
	return directory;
}

/*
 * Sets the seed of the order of targets, which should differ between nodes,
 * before the first target is added.
 */
void relay_directory_set_seed(struct relay_directory *directory, uint64_t seed)
{
	directory->seed = seed;
}

/* Frees the directory; NULL is allowed. */
void relay_directory_free(struct relay_directory *directory)
{
	if (!directory)
		return;
	g_hash_table_destroy(directory->by_service);
	g_hash_table_destroy(directory->by_tag);
	for (uint32_t i = 0; i < SET_COUNT; i++)
		relay_target_set_clear(&directory->sets[i]);
	g_free(directory);
}

static struct relay_service_index *
service_index(struct relay_directory *directory, uint32_t service_id)
{
	gpointer key = GUINT_TO_POINTER(service_id);
	struct relay_service_index *index =
		g_hash_table_lookup(directory->by_service, key);

	if (index)
		return index;
	index = relay_service_index_new();
	g_hash_table_insert(directory->by_service, key, index);
	return index;
}

static void remove_from_pool(struct relay_directory *directory,
			     struct relay_target *entry)
{
	relay_service_index_remove_from_pool(
		service_index(directory, entry->target.service_id), entry);
}

static void add_to_pool(struct relay_directory *directory,
			struct relay_target *entry)
{
	relay_service_index_add_to_pool(
		service_index(directory, entry->target.service_id), entry,
		directory->seed);
}

static void remove_target(struct relay_directory *directory,
			  struct relay_target *entry)
{
	remove_from_pool(directory, entry);
	g_ptr_array_remove_fast(
		service_index(directory, entry->target.service_id)->targets,
		entry);
	for (uint32_t i = 0; i < SET_COUNT; i++)
		relay_target_set_remove(&directory->sets[i], entry);
	g_hash_table_remove(directory->by_tag, GUINT_TO_POINTER(entry->tag));
}

static struct relay_target *add(struct relay_directory *directory,
				const struct target *target)
{
	struct relay_target *entry = g_new0(struct relay_target, 1);

	entry->target = *target;
	entry->tag = relay_tag_of(target->target_id);
	g_hash_table_insert(directory->by_tag, GUINT_TO_POINTER(entry->tag),
			    entry);
	g_ptr_array_add(service_index(directory, target->service_id)->targets,
			entry);
	add_to_pool(directory, entry);
	return entry;
}

/* Resets a target with a new incarnation: it restarted and lost its flows. */
static void reset_if_restarted(struct relay_target *entry,
			       const struct target *target)
{
	if (entry->target.incarnation == target->incarnation)
		return;
	entry->own_open_count = 0;
	entry->health = (struct relay_health){.answered_ms = 0};
	entry->warmup.end_ms = 0;
	entry->load_milli = 0;
	entry->pace_milli = 0;
	entry->work_time = (struct relay_work_time){.time_us = 0};
	entry->life_ms = 0;
}

/* Replaces the target's entry of the same service. */
static void replace(struct relay_directory *directory,
		    struct relay_target *entry, const struct target *target)
{
	bool moves = entry->target.zone_id != target->zone_id;

	if (moves)
		remove_from_pool(directory, entry);
	entry->target = *target;
	if (moves)
		add_to_pool(directory, entry);
}

/*
 * Returns the state that a target gets by its entry. A target that leaves does
 * so for good until it starts again: an entry that says otherwise is from a
 * copy of the store that is older than its leaving. An incarnation of 0 is not
 * known.
 */
enum target_state relay_directory_merge_state(struct relay_directory *directory,
					      const struct target *target)
{
	const struct relay_target *entry = relay_directory_find(
		directory, relay_tag_of(target->target_id));

	if (entry && entry->target.target_id == target->target_id &&
	    entry->target.state == TARGET_LEAVING && target->incarnation != 0 &&
	    entry->target.incarnation == target->incarnation)
		return TARGET_LEAVING;
	return target->state;
}

/*
 * Adds or updates a target. Returns false if another target has the same tag;
 * that target stays.
 */
bool relay_directory_put(struct relay_directory *directory,
			 const struct target *target, uint32_t warmup_ms,
			 int64_t now_ms)
{
	struct relay_target *entry = relay_directory_find(
		directory, relay_tag_of(target->target_id));
	enum target_state state =
		relay_directory_merge_state(directory, target);

	if (entry && entry->target.target_id != target->target_id)
		return false;
	if (entry && entry->target.service_id != target->service_id) {
		remove_target(directory, entry);
		entry = NULL;
	}
	if (!entry)
		entry = add(directory, target);
	reset_if_restarted(entry, target);
	replace(directory, entry, target);
	entry->target.state = state;
	entry->warmup_end_ms = now_ms + warmup_ms;
	relay_warmup_tokens_hear(&entry->warmup, warmup_ms, now_ms);
	if (entry->warmup.end_ms != 0)
		relay_target_set_add(&directory->sets[SET_WARMING], entry);
	entry->grace_end_ms = 0;
	entry->removed_ms = 0;
	return true;
}

static void mark_removed(struct relay_directory *directory,
			 struct relay_target *entry, int64_t now_ms)
{
	if (entry->removed_ms != 0)
		return;
	relay_target_set_add(&directory->sets[SET_REMOVED], entry);
	entry->removed_ms = now_ms;
	entry->grace_end_ms = now_ms;
	if (entry->target.state != TARGET_LEAVING)
		entry->grace_end_ms = now_ms + NEW_FLOW_GRACE_MS;
}

/*
 * Marks a target as removed from the store. It keeps its flows and stays in
 * the directory until a later sweep.
 */
void relay_directory_remove(struct relay_directory *directory,
			    uint64_t target_id, int64_t now_ms)
{
	struct relay_target *entry =
		relay_directory_find(directory, relay_tag_of(target_id));

	if (entry && entry->target.target_id == target_id)
		mark_removed(directory, entry, now_ms);
}

/* Makes a set for fast lookup, as a list may have thousands of ids. */
static GHashTable *make_id_set(const GArray *target_ids)
{
	GHashTable *set = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < target_ids->len; i++)
		g_hash_table_add(set, &g_array_index(target_ids, uint64_t, i));
	return set;
}

/* Marks all targets as removed that are not in target_ids, a complete list. */
void relay_directory_remove_unlisted(struct relay_directory *directory,
				     const GArray *target_ids, int64_t now_ms)
{
	GHashTable *listed = make_id_set(target_ids);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->by_tag);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct relay_target *entry = value;

		if (!g_hash_table_contains(listed, &entry->target.target_id))
			mark_removed(directory, entry, now_ms);
	}
	g_hash_table_destroy(listed);
}

/* Returns the target with this tag, or NULL. */
struct relay_target *relay_directory_find(struct relay_directory *directory,
					  uint32_t tag)
{
	return g_hash_table_lookup(directory->by_tag, GUINT_TO_POINTER(tag));
}

/* Returns pointers to the targets of a service; the array may be empty. */
const GPtrArray *
relay_directory_service_targets(struct relay_directory *directory,
				uint32_t service_id)
{
	return service_index(directory, service_id)->targets;
}

/* Returns the service's struct relay_pool by zone; the array may be empty. */
const GPtrArray *
relay_directory_service_pools(struct relay_directory *directory,
			      uint32_t service_id)
{
	return service_index(directory, service_id)->pools;
}

/* Counts a flow that this node has opened or taken over. */
void relay_directory_add_open_flow(struct relay_directory *directory,
				   struct relay_target *entry)
{
	entry->own_open_count++;
	relay_target_set_add(&directory->sets[SET_USED], entry);
}

/*
 * Returns a set with all targets that have open flows of this node. Others may
 * be in it; who visits the set may remove these.
 */
struct relay_target_set *
relay_directory_used_targets(struct relay_directory *directory)
{
	return &directory->sets[SET_USED];
}

/* The same for the targets whose warm-up runs. */
struct relay_target_set *
relay_directory_warming_targets(struct relay_directory *directory)
{
	return &directory->sets[SET_WARMING];
}

/* Frees the targets that were removed more than REMOVED_RETENTION_MS ago. */
void relay_directory_sweep(struct relay_directory *directory, int64_t now_ms)
{
	struct relay_target_set *removed = &directory->sets[SET_REMOVED];

	for (guint i = removed->targets->len; i-- > 0;) {
		struct relay_target *entry =
			g_ptr_array_index(removed->targets, i);

		if (entry->removed_ms == 0)
			relay_target_set_remove(removed, entry);
		else if (now_ms - entry->removed_ms > REMOVED_RETENTION_MS)
			remove_target(directory, entry);
	}
}

/* Returns the number of targets, including removed ones not yet freed. */
uint32_t relay_directory_count(const struct relay_directory *directory)
{
	return g_hash_table_size(directory->by_tag);
}

/* Calls visit for every target, in no particular order. */
void relay_directory_for_each(struct relay_directory *directory, void *context,
			      void (*visit)(void *context,
					    struct relay_target *entry))
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->by_tag);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(context, value);
}

/* Calls visit for the targets of every service in every zone. */
void relay_directory_for_each_pool(struct relay_directory *directory,
				   void *context,
				   void (*visit)(void *context,
						 uint32_t service_id,
						 const struct relay_pool *pool))
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->by_service);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct relay_service_index *index = value;

		for (guint i = 0; i < index->pools->len; i++)
			visit(context, GPOINTER_TO_UINT(key),
			      g_ptr_array_index(index->pools, i));
	}
}
