#include "fake_kv_call.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>
#include <task/task.h>

#define PAGE_KEY_COUNT 50

/* Returns a query parameter, or an empty string if there is none. */
const char *fake_kv_call_param(const struct fake_kv_call *call,
			       const char *name)
{
	const char *text = evhttp_find_header(&call->query, name);

	return text ? text : "";
}

/* Returns a query parameter as an integer, or 0 if there is none. */
int64_t fake_kv_call_int_param(const struct fake_kv_call *call,
			       const char *name)
{
	return g_ascii_strtoll(fake_kv_call_param(call, name), NULL, 10);
}

static int64_t lease_id_of(const struct fake_kv_call *call)
{
	return g_ascii_strtoll(strrchr(call->path, '/') + 1, NULL, 10);
}

static json_t *run_get(struct fake_kv_store *store,
		       const struct fake_kv_call *call, int *status)
{
	return fake_kv_store_get(store, fake_kv_call_param(call, "key"),
				 status);
}

static json_t *run_range(struct fake_kv_store *store,
			 const struct fake_kv_call *call, int *status)
{
	return fake_kv_store_range(store, fake_kv_call_param(call, "prefix"),
				   fake_kv_call_param(call, "after"),
				   PAGE_KEY_COUNT);
}

static json_t *run_txn(struct fake_kv_store *store,
		       const struct fake_kv_call *call, int *status)
{
	return fake_kv_store_txn(store, call->body, status);
}

static json_t *run_grant(struct fake_kv_store *store,
			 const struct fake_kv_call *call, int *status)
{
	int64_t ttl_ms =
		json_integer_value(json_object_get(call->body, "ttlMs"));

	return fake_kv_store_grant(store, ttl_ms, task_now_ms());
}

static json_t *run_keep_alive(struct fake_kv_store *store,
			      const struct fake_kv_call *call, int *status)
{
	return fake_kv_store_keep_alive(store, lease_id_of(call), task_now_ms(),
					status);
}

static json_t *run_revoke(struct fake_kv_store *store,
			  const struct fake_kv_call *call, int *status)
{
	return fake_kv_store_revoke(store, lease_id_of(call));
}

static const struct fake_kv_route routes[] = {
	{EVHTTP_REQ_GET, "/-/kv-key", false, run_get},
	{EVHTTP_REQ_GET, "/-/kv-range", false, run_range},
	{EVHTTP_REQ_POST, "/-/kv-txn", true, run_txn},
	{EVHTTP_REQ_POST, "/-/kv-lease", true, run_grant},
	{EVHTTP_REQ_POST, "/-/kv-keep/", true, run_keep_alive},
	{EVHTTP_REQ_DELETE, "/-/kv-lease-end/", true, run_revoke},
};

static json_t *read_body(struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(input);

	return json_loadb((char *)evbuffer_pullup(input, -1), length, 0, NULL);
}

/*
 * Parses a request, which must outlive the call. Free the contents with
 * fake_kv_call_clear.
 */
void fake_kv_call_read(struct fake_kv_call *call,
		       struct evhttp_request *request)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *query = evhttp_uri_get_query(uri);

	call->method = evhttp_request_get_command(request);
	call->path = evhttp_uri_get_path(uri);
	evhttp_parse_query_str(query ? query : "", &call->query);
	call->body = read_body(request);
}

/* Frees the contents of a call. */
void fake_kv_call_clear(struct fake_kv_call *call)
{
	evhttp_clear_headers(&call->query);
	json_decref(call->body);
}

static bool is_route(const struct fake_kv_route *route,
		     enum evhttp_cmd_type method, const char *path)
{
	if (route->method != method)
		return false;
	if (g_str_has_suffix(route->path, "/"))
		return g_str_has_prefix(path, route->path);
	return strcmp(route->path, path) == 0;
}

/* Returns the route of a call, or NULL for a watch or an unknown path. */
const struct fake_kv_route *fake_kv_call_route(const struct fake_kv_call *call)
{
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (is_route(&routes[i], call->method, call->path))
			return &routes[i];
	}
	return NULL;
}
