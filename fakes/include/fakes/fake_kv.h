#ifndef FAKES_FAKE_KV_H
#define FAKES_FAKE_KV_H

#include <core/endpoint.h>
#include <fakes/fake_kv_fault.h>
#include <glib.h>

/*
 * A fake of the platform's key-value store: a task that serves its HTTP API,
 * keeps keys, leases and watches in memory and counts requests.
 */
struct fake_kv;

/*
 * token is the required Authorization header; NULL: none is required. It must
 * outlive the store.
 */
struct fake_kv_options {
	struct endpoint listen;
	const char *token;
};

struct fake_kv *fake_kv_new(const struct fake_kv_options *options,
			    GError **error);
void fake_kv_free(struct fake_kv *kv);
struct endpoint fake_kv_endpoint(const struct fake_kv *kv);
void fake_kv_set_fault(struct fake_kv *kv, const struct fake_kv_fault *fault);
void fake_kv_put(struct fake_kv *kv, const char *key, const char *value);
void fake_kv_remove(struct fake_kv *kv, const char *key);
void fake_kv_compact(struct fake_kv *kv);
void fake_kv_snapshot(struct fake_kv *kv);
void fake_kv_restore(struct fake_kv *kv);
uint64_t fake_kv_read_count(struct fake_kv *kv);
uint64_t fake_kv_write_count(struct fake_kv *kv);
uint64_t fake_kv_watch_count(struct fake_kv *kv);

#endif
