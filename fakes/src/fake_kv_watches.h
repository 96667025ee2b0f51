#ifndef FAKE_KV_WATCHES_H
#define FAKE_KV_WATCHES_H

#include <event2/http.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>

#include "fake_kv_store.h"

/*
 * The open watches of the stand-in store. The lock guards them and the store;
 * all functions but free are called with it held.
 */
struct fake_kv_watches;

struct fake_kv_watches *fake_kv_watches_new(pthread_mutex_t *lock,
					    const struct fake_kv_store *store);
void fake_kv_watches_free(struct fake_kv_watches *watches);
void fake_kv_watches_open(struct fake_kv_watches *watches,
			  struct evhttp_request *request, const json_t *body,
			  bool is_stalled);
void fake_kv_watches_send(struct fake_kv_watches *watches);
void fake_kv_watches_cut(struct fake_kv_watches *watches);

#endif
