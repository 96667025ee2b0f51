#ifndef CORE_ENDPOINT_H
#define CORE_ENDPOINT_H

#include <core/ip_addr.h>

#define ENDPOINT_TEXT_BYTES 56

/* An IP address and a port. */
struct endpoint {
	struct ip_addr addr;
	uint16_t port;
};

bool endpoint_parse(struct endpoint *endpoint, const char *text);
const char *endpoint_format(const struct endpoint *endpoint, char *text);
bool endpoint_equal(const struct endpoint *a, const struct endpoint *b);
uint64_t endpoint_hash(const struct endpoint *endpoint, uint64_t seed);

#endif
