#ifndef FAKES_FAKE_KV_H
#define FAKES_FAKE_KV_H

#include <core/endpoint.h>
#include <fakes/fake_kv_fault.h>
#include <glib.h>

/*
 * A stand-in for the platform's key-value store: a task that speaks its HTTP
 * interface, keeps keys, leases and watches in memory and counts calls.
 */
struct fake_kv;

/* token NULL: no Authorization is asked for. It must outlive the stand-in. */
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
