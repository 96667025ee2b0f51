#ifndef CORE_IP_ADDR_H
#define CORE_IP_ADDR_H

#include <stdbool.h>
#include <stdint.h>

#define IP_ADDR_BYTES 16
#define IP_ADDR_TEXT_BYTES 46

/*
 * An IPv4 or IPv6 address. An IPv4 address takes the first four bytes; the rest
 * are zero.
 */
struct ip_addr {
	uint8_t bytes[IP_ADDR_BYTES];
	uint8_t is_v6;
};

bool ip_addr_parse(struct ip_addr *addr, const char *text);
const char *ip_addr_format(const struct ip_addr *addr, char *text);
bool ip_addr_equal(const struct ip_addr *a, const struct ip_addr *b);
struct ip_addr ip_addr_from_v4(uint32_t host_order);

#endif
