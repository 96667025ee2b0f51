#ifndef WIRE_KV_CODEC_H
#define WIRE_KV_CODEC_H

#include <wire/kv_reply.h>

/*
 * The JSON gateway of the etcd v3 interface: 64-bit numbers are decimal
 * strings, keys and values are base64. Requests are returned as text that the
 * caller frees with g_free.
 */
char *kv_codec_range(const char *key, bool is_prefix);
char *kv_codec_put_if(const char *key, int64_t expected_mod_revision,
		      const char *value, uint32_t value_bytes,
		      int64_t lease_id);
char *kv_codec_grant(int64_t ttl_s);
char *kv_codec_lease(int64_t lease_id);
char *kv_codec_watch(const char *key, bool is_prefix, int64_t start_revision);
struct kv_reply *kv_codec_reply(const char *text, size_t length_bytes,
				GError **error);

#endif
