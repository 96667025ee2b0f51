#include <core/ip_addr.h>

#include <arpa/inet.h>
#include <string.h>

/*
 * Parses an IPv4 or IPv6 address. Returns false and zeroes the address if the
 * text is neither.
 */
bool ip_addr_parse(struct ip_addr *addr, const char *text)
{
	memset(addr, 0, sizeof(*addr));
	if (inet_pton(AF_INET, text, addr->bytes) == 1)
		return true;
	if (inet_pton(AF_INET6, text, addr->bytes) != 1) {
		memset(addr, 0, sizeof(*addr));
		return false;
	}
	addr->is_v6 = 1;
	return true;
}

/*
 * Formats the address into a buffer of IP_ADDR_TEXT_BYTES and returns the
 * buffer.
 */
const char *ip_addr_format(const struct ip_addr *addr, char *text)
{
	int family = addr->is_v6 ? AF_INET6 : AF_INET;

	if (!inet_ntop(family, addr->bytes, text, IP_ADDR_TEXT_BYTES))
		text[0] = '\0';
	return text;
}

/* Returns whether the addresses have the same family and value. */
bool ip_addr_equal(const struct ip_addr *a, const struct ip_addr *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

/* Returns the address for an IPv4 address in host byte order. */
struct ip_addr ip_addr_from_v4(uint32_t host_order)
{
	struct ip_addr addr = {.is_v6 = 0};
	uint32_t network_order = htonl(host_order);

	memcpy(addr.bytes, &network_order, sizeof(network_order));
	return addr;
}
