#ifndef FAKE_KV_WATCH_H
#define FAKE_KV_WATCH_H

#include <event2/http.h>
#include <jansson.h>
#include <stdint.h>

/* A caller's open watch and the revision it waits for. */
struct fake_kv_watch {
	struct evhttp_request *request;
	struct evhttp_connection *connection;
	json_t *range;
	int64_t next_revision;
};

void fake_kv_watch_send(struct fake_kv_watch *watch, json_t *result);
void fake_kv_watch_free(struct fake_kv_watch *watch);

#endif
