#include <core/relay_directory.h>

#include <core/relay_tag.h>

/*
 * An entry that lapsed while the store was away is back within 2 s of the
 * store's return if its target lives. Until then the target is used on.
 */
#define LAPSE_MS 2000

/* Flows live for at most 60 s; their target is known for as long. */
#define RETENTION_MS 70000

/* by_service maps a service to its targets; by_tag owns them. */
struct relay_directory {
	GHashTable *by_tag;
	GHashTable *by_service;
};

static void free_list(gpointer list)
{
	g_ptr_array_free(list, TRUE);
}

/* Makes an empty directory; free it with relay_directory_free. */
struct relay_directory *relay_directory_new(void)
{
	struct relay_directory *directory = g_new0(struct relay_directory, 1);

	directory->by_tag = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						  NULL, g_free);
	directory->by_service = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, free_list);
	return directory;
}

/* Frees the directory; NULL is allowed. */
void relay_directory_free(struct relay_directory *directory)
{
	if (!directory)
		return;
	g_hash_table_destroy(directory->by_service);
	g_hash_table_destroy(directory->by_tag);
	g_free(directory);
}

static GPtrArray *list_of(struct relay_directory *directory,
			  uint32_t service_id)
{
	gpointer key = GUINT_TO_POINTER(service_id);
	GPtrArray *list = g_hash_table_lookup(directory->by_service, key);

	if (list)
		return list;
	list = g_ptr_array_new();
	g_hash_table_insert(directory->by_service, key, list);
	return list;
}

static void forget(struct relay_directory *directory,
		   struct relay_target *known)
{
	g_ptr_array_remove_fast(list_of(directory, known->target.service_id),
				known);
	g_hash_table_remove(directory->by_tag, GUINT_TO_POINTER(known->tag));
}

static struct relay_target *add(struct relay_directory *directory,
				const struct target *target)
{
	struct relay_target *known = g_new0(struct relay_target, 1);

	known->target = *target;
	known->tag = relay_tag_of(target->target_id);
	g_hash_table_insert(directory->by_tag, GUINT_TO_POINTER(known->tag),
			    known);
	g_ptr_array_add(list_of(directory, target->service_id), known);
	return known;
}

/* A new incarnation knows nothing of the flows of the one before. */
static void restart(struct relay_target *known, const struct target *target)
{
	if (known->target.incarnation == target->incarnation)
		return;
	known->own_open_count = 0;
	known->health = (struct relay_health){.answered_ms = 0};
}

/*
 * Adds a target or takes its new description. Returns false where its tag
 * belongs to another target, which then keeps it.
 */
bool relay_directory_put(struct relay_directory *directory,
			 const struct target *target, uint32_t warmup_ms,
			 int64_t now_ms)
{
	struct relay_target *known = relay_directory_find(
		directory, relay_tag_of(target->target_id));

	if (known && known->target.target_id != target->target_id)
		return false;
	if (known && known->target.service_id != target->service_id) {
		forget(directory, known);
		known = NULL;
	}
	if (!known)
		known = add(directory, target);
	restart(known, target);
	known->target = *target;
	known->warm_ms = now_ms + warmup_ms;
	known->lapse_end_ms = 0;
	known->gone_ms = 0;
	return true;
}

static void lose(struct relay_target *known, int64_t now_ms)
{
	if (known->gone_ms != 0)
		return;
	known->gone_ms = now_ms;
	known->lapse_end_ms = now_ms;
	if (known->target.state != TARGET_LEAVING)
		known->lapse_end_ms = now_ms + LAPSE_MS;
}

/* Notes that a target's entry is gone; what it has stays with it. */
void relay_directory_remove(struct relay_directory *directory,
			    uint64_t target_id, int64_t now_ms)
{
	struct relay_target *known =
		relay_directory_find(directory, relay_tag_of(target_id));

	if (known && known->target.target_id == target_id)
		lose(known, now_ms);
}

/* The ids as a set, since a list may name thousands. */
static GHashTable *set_of(const GArray *target_ids)
{
	GHashTable *set = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < target_ids->len; i++)
		g_hash_table_add(set, &g_array_index(target_ids, uint64_t, i));
	return set;
}

/* Takes a whole list: targets that are not on it are gone. */
void relay_directory_remove_others(struct relay_directory *directory,
				   const GArray *target_ids, int64_t now_ms)
{
	GHashTable *listed = set_of(target_ids);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->by_tag);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct relay_target *known = value;

		if (!g_hash_table_contains(listed, &known->target.target_id))
			lose(known, now_ms);
	}
	g_hash_table_destroy(listed);
}

/* Returns the target of a tag, or NULL. */
struct relay_target *relay_directory_find(struct relay_directory *directory,
					  uint32_t tag)
{
	return g_hash_table_lookup(directory->by_tag, GUINT_TO_POINTER(tag));
}

/* Returns the struct relay_target of a service; the list may be empty. */
const GPtrArray *relay_directory_service(struct relay_directory *directory,
					 uint32_t service_id)
{
	return list_of(directory, service_id);
}

/* Forgets the targets that have been gone for longer than flows live. */
void relay_directory_sweep(struct relay_directory *directory, int64_t now_ms)
{
	GList *values = g_hash_table_get_values(directory->by_tag);

	for (GList *value = values; value; value = value->next) {
		struct relay_target *known = value->data;

		if (known->gone_ms != 0 &&
		    now_ms - known->gone_ms > RETENTION_MS)
			forget(directory, known);
	}
	g_list_free(values);
}

/* Returns how many targets are known, those that are gone included. */
uint32_t relay_directory_count(const struct relay_directory *directory)
{
	return g_hash_table_size(directory->by_tag);
}

/* Visits every target, in no order. */
void relay_directory_each(struct relay_directory *directory, void *context,
			  void (*visit)(void *context,
					struct relay_target *known))
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->by_tag);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(context, value);
}
