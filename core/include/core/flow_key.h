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
struct flow_print {
	uint64_t high;
	uint64_t low;
};

struct flow_print flow_key_print(const struct flow_key *key, uint64_t seed);
bool flow_key_equal(const struct flow_key *a, const struct flow_key *b);
bool flow_print_equal(struct flow_print a, struct flow_print b);

#endif
