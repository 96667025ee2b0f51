#include "fake_kv_store.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define MS_PER_S 1000

/* A lease of some id, and when it lapses. */
struct fake_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t end_ms;
};

/* kvs maps the base64 key to the gateway's object; history lists events. */
struct fake_kv_store {
	json_t *kvs;
	json_t *history;
	json_t *snapshot;
	GArray *leases;
	int64_t revision;
	int64_t snapshot_revision;
	int64_t compact_revision;
	int64_t next_lease_id;
};

/* Makes an empty store of revision 1, as a new etcd has. */
struct fake_kv_store *fake_kv_store_new(void)
{
	struct fake_kv_store *store = g_new0(struct fake_kv_store, 1);

	store->kvs = json_object();
	store->history = json_array();
	store->leases = g_array_new(FALSE, FALSE, sizeof(struct fake_lease));
	store->revision = 1;
	store->next_lease_id = 1;
	return store;
}

/* Frees the store; NULL is allowed. */
void fake_kv_store_free(struct fake_kv_store *store)
{
	if (!store)
		return;
	json_decref(store->kvs);
	json_decref(store->history);
	json_decref(store->snapshot);
	g_array_free(store->leases, TRUE);
	g_free(store);
}

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static int64_t number_of(const json_t *object, const char *name)
{
	return g_ascii_strtoll(text_of(object, name), NULL, 10);
}

static json_t *number(int64_t value)
{
	return json_sprintf("%" PRId64, value);
}

static char *decode_key(const char *text)
{
	gsize length = 0;
	guchar *bytes = g_base64_decode(text, &length);
	char *key = g_strndup((char *)bytes, length);

	g_free(bytes);
	return key;
}

/* Compares by bytes; a range without an end is one key. */
static bool is_in_range(const json_t *range, const char *encoded_key)
{
	char *key = decode_key(encoded_key);
	char *first = decode_key(text_of(range, "key"));
	char *end = decode_key(text_of(range, "range_end"));
	bool is_in = *end ? strcmp(key, first) >= 0 && strcmp(key, end) < 0
			  : strcmp(key, first) == 0;

	g_free(key);
	g_free(first);
	g_free(end);
	return is_in;
}

/* Makes the header that every answer has. */
json_t *fake_kv_store_header(const struct fake_kv_store *store)
{
	return json_pack("{s:o}", "revision", number(store->revision));
}

/* Returns the store's revision. */
int64_t fake_kv_store_revision(const struct fake_kv_store *store)
{
	return store->revision;
}

/* Answers a range request. */
json_t *fake_kv_store_range(struct fake_kv_store *store, const json_t *request)
{
	json_t *kvs = json_array();
	const char *key;
	json_t *kv;

	json_object_foreach(store->kvs, key, kv)
	{
		if (is_in_range(request, key))
			json_array_append(kvs, kv);
	}
	return json_pack("{s:o, s:o, s:o}", "header",
			 fake_kv_store_header(store), "kvs", kvs, "count",
			 number((int64_t)json_array_size(kvs)));
}

static void put(struct fake_kv_store *store, const json_t *request)
{
	const char *key = text_of(request, "key");
	json_t *kv = json_pack("{s:s, s:s, s:s}", "key", key, "value",
			       text_of(request, "value"), "lease",
			       text_of(request, "lease"));

	store->revision++;
	json_object_set_new(kv, "mod_revision", number(store->revision));
	json_object_set(store->kvs, key, kv);
	json_array_append_new(store->history, json_pack("{s:o}", "kv", kv));
}

static void delete_key(struct fake_kv_store *store, const char *key)
{
	json_t *kv = json_pack("{s:s}", "key", key);

	store->revision++;
	json_object_set_new(kv, "mod_revision", number(store->revision));
	json_array_append_new(store->history, json_pack("{s:s, s:o}", "type",
							"DELETE", "kv", kv));
	json_object_del(store->kvs, key);
}

static bool is_equal(const struct fake_kv_store *store, const json_t *compare)
{
	const json_t *kv = json_object_get(store->kvs, text_of(compare, "key"));

	return number_of(kv, "mod_revision") ==
	       number_of(compare, "mod_revision");
}

static json_t *run_operations(struct fake_kv_store *store,
			      const json_t *operations)
{
	json_t *responses = json_array();
	size_t index;
	json_t *operation;

	json_array_foreach(operations, index, operation)
	{
		const json_t *range =
			json_object_get(operation, "request_range");
		const json_t *write = json_object_get(operation, "request_put");

		if (write)
			put(store, write);
		if (range)
			json_array_append_new(
				responses,
				json_pack("{s:o}", "response_range",
					  fake_kv_store_range(store, range)));
	}
	return responses;
}

/* Answers a transaction whose comparisons are all on mod_revision. */
json_t *fake_kv_store_txn(struct fake_kv_store *store, const json_t *request)
{
	bool is_succeeded = true;
	json_t *responses;
	size_t index;
	json_t *compare;

	json_array_foreach(json_object_get(request, "compare"), index, compare)
		is_succeeded = is_succeeded && is_equal(store, compare);
	responses = run_operations(
		store,
		json_object_get(request, is_succeeded ? "success" : "failure"));
	return json_pack("{s:o, s:b, s:o}", "header",
			 fake_kv_store_header(store), "succeeded", is_succeeded,
			 "responses", responses);
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

static json_t *lease_answer(const struct fake_kv_store *store, int64_t id,
			    int64_t ttl_s)
{
	return json_pack("{s:o, s:o, s:o}", "header",
			 fake_kv_store_header(store), "ID", number(id), "TTL",
			 number(ttl_s));
}

/* Grants a lease. */
json_t *fake_kv_store_grant(struct fake_kv_store *store, const json_t *request,
			    int64_t now_ms)
{
	struct fake_lease lease = {.id = store->next_lease_id++,
				   .ttl_s = number_of(request, "TTL")};

	lease.end_ms = now_ms + lease.ttl_s * MS_PER_S;
	g_array_append_val(store->leases, lease);
	return lease_answer(store, lease.id, lease.ttl_s);
}

/* Prolongs a lease; one that has lapsed is answered with TTL 0. */
json_t *fake_kv_store_keep_alive(struct fake_kv_store *store,
				 const json_t *request, int64_t now_ms)
{
	struct fake_lease *lease = find_lease(store, number_of(request, "ID"));

	if (lease)
		lease->end_ms = now_ms + lease->ttl_s * MS_PER_S;
	return json_pack("{s:o}", "result",
			 lease_answer(store, number_of(request, "ID"),
				      lease ? lease->ttl_s : 0));
}

static void end_lease(struct fake_kv_store *store, int64_t id)
{
	const char *key;
	json_t *kv;
	void *next;

	json_object_foreach_safe(store->kvs, next, key, kv)
	{
		if (number_of(kv, "lease") == id)
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

/* Ends a lease and the keys that hang on it. */
json_t *fake_kv_store_revoke(struct fake_kv_store *store, const json_t *request)
{
	end_lease(store, number_of(request, "ID"));
	return json_pack("{s:o}", "header", fake_kv_store_header(store));
}

/* Ends the leases that have lapsed. */
void fake_kv_store_expire(struct fake_kv_store *store, int64_t now_ms)
{
	for (guint i = store->leases->len; i-- > 0;) {
		const struct fake_lease *lease =
			&g_array_index(store->leases, struct fake_lease, i);

		if (lease->end_ms <= now_ms)
			end_lease(store, lease->id);
	}
}

/*
 * Answers a watch with the events since a revision, NULL where there are none.
 * A compacted revision cancels the watch.
 */
json_t *fake_kv_store_events(const struct fake_kv_store *store,
			     const json_t *watch, int64_t from_revision)
{
	json_t *events = json_array();
	size_t index;
	json_t *event;

	if (from_revision > 0 && from_revision <= store->compact_revision) {
		json_decref(events);
		return json_pack("{s:o, s:b, s:o}", "header",
				 fake_kv_store_header(store), "canceled", true,
				 "compact_revision",
				 number(store->compact_revision));
	}
	json_array_foreach(store->history, index, event)
	{
		const json_t *kv = json_object_get(event, "kv");

		if (number_of(kv, "mod_revision") >= from_revision &&
		    is_in_range(watch, text_of(kv, "key")))
			json_array_append(events, event);
	}
	if (json_array_size(events) > 0)
		return json_pack("{s:o, s:o}", "header",
				 fake_kv_store_header(store), "events", events);
	json_decref(events);
	return NULL;
}

/* Forgets the history up to now. */
void fake_kv_store_compact(struct fake_kv_store *store)
{
	json_array_clear(store->history);
	store->compact_revision = store->revision;
}

/* Keeps the state of now, to be restored later. */
void fake_kv_store_snapshot(struct fake_kv_store *store)
{
	json_decref(store->snapshot);
	store->snapshot = json_deep_copy(store->kvs);
	store->snapshot_revision = store->revision;
}

/* Goes back to the snapshot, revision and all; watches hear nothing. */
void fake_kv_store_restore(struct fake_kv_store *store)
{
	json_decref(store->kvs);
	store->kvs = json_deep_copy(store->snapshot);
	store->revision = store->snapshot_revision;
	json_array_clear(store->history);
}
