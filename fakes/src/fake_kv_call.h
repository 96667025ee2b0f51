#ifndef FAKE_KV_CALL_H
#define FAKE_KV_CALL_H

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "fake_kv_store.h"

/*
 * A parsed HTTP request; path excludes the query. body is NULL if it is not
 * JSON.
 */
struct fake_kv_call {
	enum evhttp_cmd_type method;
	const char *path;
	struct evkeyvalq query;
	json_t *body;
};

/*
 * A route of the HTTP API. A path that ends in "/" is followed by a lease id.
 */
struct fake_kv_route {
	enum evhttp_cmd_type method;
	const char *path;
	bool is_write;
	json_t *(*run)(struct fake_kv_store *store,
		       const struct fake_kv_call *call, int *status);
};

void fake_kv_call_read(struct fake_kv_call *call,
		       struct evhttp_request *request);
void fake_kv_call_clear(struct fake_kv_call *call);
const char *fake_kv_call_param(const struct fake_kv_call *call,
			       const char *name);
int64_t fake_kv_call_int_param(const struct fake_kv_call *call,
			       const char *name);
const struct fake_kv_route *fake_kv_call_route(const struct fake_kv_call *call);

#endif
