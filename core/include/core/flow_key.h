#ifndef CORE_FLOW_KEY_H
#define CORE_FLOW_KEY_H

#include <core/endpoint.h>

/* IANA protocol numbers. */
#define FLOW_PROTOCOL_TCP 6
#define FLOW_PROTOCOL_UDP 17

/* The 5-tuple that identifies a flow. */
struct flow_key {
	struct endpoint caller;
	struct endpoint service;
	uint8_t protocol;
};

/* A seeded 128-bit hash that identifies a key in tables and messages. */
struct hash128 {
	uint64_t high;
	uint64_t low;
};

struct hash128 flow_key_hash(const struct flow_key *key, uint64_t seed);
bool flow_key_equal(const struct flow_key *a, const struct flow_key *b);
bool hash128_equal(struct hash128 a, struct hash128 b);

#endif
