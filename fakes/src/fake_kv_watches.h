#ifndef FAKE_KV_WATCHES_H
#define FAKE_KV_WATCHES_H

#include <event2/http.h>
#include <pthread.h>

#include "fake_kv_store.h"

/*
 * The watches of the fake store: long-poll requests that wait for a change. The
 * lock guards them and the store; all functions but new and free are called
 * with the lock held.
 */
struct fake_kv_watches;

struct fake_kv_watches *fake_kv_watches_new(pthread_mutex_t *lock,
					    const struct fake_kv_store *store);
void fake_kv_watches_free(struct fake_kv_watches *watches);
void fake_kv_watches_open(struct fake_kv_watches *watches,
			  struct evhttp_request *request, const char *prefix,
			  int64_t after_revision, int64_t deadline_ms);
void fake_kv_watches_send(struct fake_kv_watches *watches, int64_t now_ms);
void fake_kv_watches_disconnect(struct fake_kv_watches *watches);

#endif
