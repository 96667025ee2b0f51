#define XXH_INLINE_ALL
#include <core/flow_key.h>

#include <string.h>
#include <xxhash.h>

#define FLOW_KEY_PACKED_BYTES (2 * (IP_ADDR_BYTES + 2) + 2)

static uint8_t *pack_endpoint(uint8_t *out, const struct endpoint *endpoint)
{
	memcpy(out, endpoint->addr.bytes, IP_ADDR_BYTES);
	memcpy(out + IP_ADDR_BYTES, &endpoint->port, sizeof(endpoint->port));
	return out + IP_ADDR_BYTES + sizeof(endpoint->port);
}

/*
 * Hashes the key with XXH3-128. Nodes that share the seed compute the same
 * hash; a caller that does not know the seed cannot provoke collisions.
 */
struct hash128 flow_key_hash(const struct flow_key *key, uint64_t seed)
{
	uint8_t packed[FLOW_KEY_PACKED_BYTES];
	uint8_t *out = packed;
	XXH128_hash_t hash;

	out = pack_endpoint(out, &key->caller);
	out = pack_endpoint(out, &key->service);
	*out++ = key->protocol;
	*out = key->service.addr.is_v6;
	hash = XXH3_128bits_withSeed(packed, sizeof(packed), seed);
	return (struct hash128){.high = hash.high64, .low = hash.low64};
}

/* Returns whether two keys identify the same flow. */
bool flow_key_equal(const struct flow_key *a, const struct flow_key *b)
{
	return a->protocol == b->protocol &&
	       endpoint_equal(&a->caller, &b->caller) &&
	       endpoint_equal(&a->service, &b->service);
}

/* Returns whether two hashes are equal. */
bool hash128_equal(struct hash128 a, struct hash128 b)
{
	return a.high == b.high && a.low == b.low;
}
