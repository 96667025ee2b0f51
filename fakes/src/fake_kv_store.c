#include "fake_kv_store.h"

#include <glib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_COMPACTED 410
#define STATUS_PRECONDITION_FAILED 412

/* A lease and its expiry time. */
struct fake_lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t expires_ms;
};

/* items maps a key to its item; history lists the changes, oldest first. */
struct fake_kv_store {
	json_t *items;
	json_t *history;
	json_t *snapshot;
	GArray *leases;
	int64_t era;
	int64_t revision;
	int64_t snapshot_revision;
	int64_t compact_revision;
	int64_t next_lease_id;
	int64_t snapshot_lease_id;
};

/* Creates an empty store at revision 1. */
struct fake_kv_store *fake_kv_store_new(void)
{
	struct fake_kv_store *store = g_new0(struct fake_kv_store, 1);

	store->items = json_object();
	store->history = json_array();
	store->leases = g_array_new(FALSE, FALSE, sizeof(struct fake_lease));
	store->era = 1;
	store->revision = 1;
	store->next_lease_id = 1;
	return store;
}

/* Frees the store; NULL is allowed. */
void fake_kv_store_free(struct fake_kv_store *store)
{
	if (!store)
		return;
	json_decref(store->items);
	json_decref(store->history);
	json_decref(store->snapshot);
	g_array_free(store->leases, TRUE);
	g_free(store);
}

static int64_t get_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static const char *get_string(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

/* Returns the store's era, which rises each time the store is restored. */
int64_t fake_kv_store_era(const struct fake_kv_store *store)
{
	return store->era;
}

/* Returns the store's revision. */
int64_t fake_kv_store_revision(const struct fake_kv_store *store)
{
	return store->revision;
}

static void set_current_revision(const struct fake_kv_store *store,
				 json_t *response)
{
	json_object_set_new(response, "currentRev",
			    json_integer(store->revision));
}

/* Reads one key. The status is 404 if it does not exist. */
json_t *fake_kv_store_get(struct fake_kv_store *store, const char *key,
			  int *status)
{
	const json_t *item = json_object_get(store->items, key);
	json_t *response = item ? json_copy((json_t *)item) : json_object();

	*status = item ? STATUS_OK : STATUS_NOT_FOUND;
	set_current_revision(store, response);
	return response;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *sorted_keys(const struct fake_kv_store *store,
			      const char *prefix, const char *after_key)
{
	GPtrArray *keys = g_ptr_array_new();
	const char *key;
	json_t *item;

	json_object_foreach(store->items, key, item)
	{
		if (g_str_has_prefix(key, prefix) && strcmp(key, after_key) > 0)
			g_ptr_array_add(keys, (gpointer)key);
	}
	g_ptr_array_sort(keys, compare_keys);
	return keys;
}

/*
 * Reads one page of the keys that begin with a prefix and sort after after_key.
 */
json_t *fake_kv_store_range(struct fake_kv_store *store, const char *prefix,
			    const char *after_key, uint32_t page_size)
{
	GPtrArray *keys = sorted_keys(store, prefix, after_key);
	json_t *items = json_array();
	json_t *response;

	for (guint i = 0; i < keys->len && i < page_size; i++)
		json_array_append(items,
				  json_object_get(store->items,
						  g_ptr_array_index(keys, i)));
	response = json_pack("{s:o, s:b}", "items", items, "hasMore",
			     keys->len > page_size);
	set_current_revision(store, response);
	g_ptr_array_free(keys, TRUE);
	return response;
}

static void put_item(struct fake_kv_store *store, const json_t *request)
{
	const char *key = get_string(request, "key");
	const json_t *old = json_object_get(store->items, key);
	json_t *item =
		json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value",
			  get_string(request, "value"), "lease",
			  (json_int_t)get_number(request, "lease"), "revision",
			  (json_int_t)store->revision, "created",
			  (json_int_t)(old ? get_number(old, "created")
					   : store->revision));

	json_object_set(store->items, key, item);
	json_array_append_new(store->history, item);
}

static void delete_key(struct fake_kv_store *store, const char *key)
{
	json_array_append_new(store->history,
			      json_pack("{s:s, s:I, s:b}", "key", key,
					"revision", (json_int_t)store->revision,
					"deleted", true));
	json_object_del(store->items, key);
}

static bool is_at_expected_revision(const struct fake_kv_store *store,
				    const json_t *row)
{
	const json_t *item =
		json_object_get(store->items, get_string(row, "key"));

	return get_number(item, "revision") == get_number(row, "revision");
}

/* Returns the current items of the keys compared by a failed transaction. */
static json_t *expected_items(const struct fake_kv_store *store,
			      const json_t *expected)
{
	json_t *items = json_array();
	size_t index;
	json_t *row;

	json_array_foreach(expected, index, row)
	{
		json_t *item =
			json_object_get(store->items, get_string(row, "key"));

		if (item)
			json_array_append(items, item);
	}
	return json_pack("{s:o}", "items", items);
}

static void apply(struct fake_kv_store *store, const json_t *request)
{
	size_t index;
	json_t *row;

	store->revision++;
	json_array_foreach(json_object_get(request, "puts"), index, row)
		put_item(store, row);
	json_array_foreach(json_object_get(request, "remove"), index, row)
		delete_key(store, json_string_value(row));
}

/*
 * Runs a transaction. If a compared key is not at its expected revision,
 * nothing is applied, the status is 412, and the response lists the current
 * items of all compared keys.
 */
json_t *fake_kv_store_txn(struct fake_kv_store *store, const json_t *request,
			  int *status)
{
	const json_t *expected = json_object_get(request, "expected");
	size_t index;
	json_t *row;

	*status = STATUS_OK;
	json_array_foreach(expected, index, row)
	{
		if (!is_at_expected_revision(store, row))
			*status = STATUS_PRECONDITION_FAILED;
	}
	if (*status != STATUS_OK)
		return expected_items(store, expected);
	apply(store, request);
	return json_pack("{s:I}", "revision", (json_int_t)store->revision);
}

static struct fake_lease *find_lease(struct fake_kv_store *store, int64_t id)
{
	for (guint i = 0; i < store->leases->len; i++) {
		struct fake_lease *lease =
			&g_array_index(store->leases, struct fake_lease, i);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

/* Grants a lease. */
json_t *fake_kv_store_grant(struct fake_kv_store *store, int64_t ttl_ms,
			    int64_t now_ms)
{
	struct fake_lease lease = {.id = store->next_lease_id++,
				   .ttl_ms = ttl_ms,
				   .expires_ms = now_ms + ttl_ms};

	g_array_append_val(store->leases, lease);
	return json_pack("{s:I, s:I}", "lease", (json_int_t)lease.id, "ttlMs",
			 (json_int_t)ttl_ms);
}

/* Renews a lease. The status is 404 if it has expired. */
json_t *fake_kv_store_keep_alive(struct fake_kv_store *store, int64_t lease_id,
				 int64_t now_ms, int *status)
{
	struct fake_lease *lease = find_lease(store, lease_id);

	*status = lease ? STATUS_OK : STATUS_NOT_FOUND;
	if (!lease)
		return json_object();
	lease->expires_ms = now_ms + lease->ttl_ms;
	return json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_ms);
}

static void remove_lease(struct fake_kv_store *store, int64_t id)
{
	const char *key;
	json_t *item;
	void *next;

	store->revision++;
	json_object_foreach_safe(store->items, next, key, item)
	{
		if (get_number(item, "lease") == id)
			delete_key(store, key);
	}
	for (guint i = 0; i < store->leases->len; i++) {
		if (g_array_index(store->leases, struct fake_lease, i).id ==
		    id) {
			g_array_remove_index(store->leases, i);
			return;
		}
	}
}

/* Revokes a lease and deletes the keys attached to it. */
json_t *fake_kv_store_revoke(struct fake_kv_store *store, int64_t lease_id)
{
	remove_lease(store, lease_id);
	return json_object();
}

/* Removes expired leases and their keys. */
void fake_kv_store_expire(struct fake_kv_store *store, int64_t now_ms)
{
	for (guint i = store->leases->len; i-- > 0;) {
		const struct fake_lease *lease =
			&g_array_index(store->leases, struct fake_lease, i);

		if (lease->expires_ms <= now_ms)
			remove_lease(store, lease->id);
	}
}

/*
 * Lists the changes after a revision. The status is 410 if the history since
 * that revision was compacted, or if the store has not reached it yet.
 */
json_t *fake_kv_store_events(const struct fake_kv_store *store,
			     const char *prefix, int64_t after_revision,
			     int *status)
{
	json_t *events = json_array();
	json_t *response = json_pack("{s:o}", "events", events);
	size_t index;
	json_t *item;

	*status = after_revision < store->compact_revision ||
				  after_revision > store->revision
			  ? STATUS_COMPACTED
			  : STATUS_OK;
	json_array_foreach(store->history, index, item)
	{
		if (get_number(item, "revision") > after_revision &&
		    g_str_has_prefix(get_string(item, "key"), prefix))
			json_array_append(events, item);
	}
	set_current_revision(store, response);
	return response;
}

/* Discards the history up to the current revision (compaction). */
void fake_kv_store_compact(struct fake_kv_store *store)
{
	json_array_clear(store->history);
	store->compact_revision = store->revision;
}

/* Saves the current keys and revision for fake_kv_store_restore. */
void fake_kv_store_snapshot(struct fake_kv_store *store)
{
	json_decref(store->snapshot);
	store->snapshot = json_deep_copy(store->items);
	store->snapshot_revision = store->revision;
	store->snapshot_lease_id = store->next_lease_id;
}

static void remove_leases_since(struct fake_kv_store *store, int64_t id)
{
	for (guint i = store->leases->len; i-- > 0;) {
		if (g_array_index(store->leases, struct fake_lease, i).id >= id)
			g_array_remove_index(store->leases, i);
	}
	store->next_lease_id = id;
}

/*
 * Restores the keys and the revision of the snapshot and begins a new era.
 * Watches get no events for the restored changes. Leases that were granted
 * since the snapshot are gone, and their numbers are given out again.
 */
void fake_kv_store_restore(struct fake_kv_store *store)
{
	json_decref(store->items);
	store->items = json_deep_copy(store->snapshot);
	store->revision = store->snapshot_revision;
	store->compact_revision = store->snapshot_revision;
	store->era++;
	json_array_clear(store->history);
	remove_leases_since(store, store->snapshot_lease_id);
}
