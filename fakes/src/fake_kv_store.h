#ifndef FAKE_KV_STORE_H
#define FAKE_KV_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The keys, leases and history of the fake store, without sockets. Functions
 * that return json_t return the response body. Free it with json_decref.
 */
struct fake_kv_store;

struct fake_kv_store *fake_kv_store_new(void);
void fake_kv_store_free(struct fake_kv_store *store);
json_t *fake_kv_store_get(struct fake_kv_store *store, const char *key,
			  int *status);
json_t *fake_kv_store_range(struct fake_kv_store *store, const char *prefix,
			    const char *after_key, uint32_t page_size);
json_t *fake_kv_store_txn(struct fake_kv_store *store, const json_t *request,
			  int *status);
json_t *fake_kv_store_grant(struct fake_kv_store *store, int64_t ttl_ms,
			    int64_t now_ms);
json_t *fake_kv_store_keep_alive(struct fake_kv_store *store, int64_t lease_id,
				 int64_t now_ms, int *status);
json_t *fake_kv_store_revoke(struct fake_kv_store *store, int64_t lease_id);
json_t *fake_kv_store_events(const struct fake_kv_store *store,
			     const char *prefix, int64_t after_revision,
			     int *status);
void fake_kv_store_expire(struct fake_kv_store *store, int64_t now_ms);
void fake_kv_store_compact(struct fake_kv_store *store);
void fake_kv_store_snapshot(struct fake_kv_store *store);
void fake_kv_store_restore(struct fake_kv_store *store);
int64_t fake_kv_store_era(const struct fake_kv_store *store);
int64_t fake_kv_store_revision(const struct fake_kv_store *store);

#endif
