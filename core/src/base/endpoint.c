#include <core/endpoint.h>

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static bool port_parse(uint16_t *port, const char *text)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 1, UINT16_MAX, &value, NULL))
		return false;
	*port = (uint16_t)value;
	return true;
}

/*
 * Parses "10.0.0.1:80" or "[2001:db8::1]:80". Returns false if the text is
 * neither or the port is outside 1 to 65535.
 */
bool endpoint_parse(struct endpoint *endpoint, const char *text)
{
	char host[IP_ADDR_TEXT_BYTES];
	const char *colon = strrchr(text, ':');
	const char *start = text;
	const char *end = colon;

	memset(endpoint, 0, sizeof(*endpoint));
	if (!colon || colon == text)
		return false;
	if (text[0] == '[') {
		if (colon[-1] != ']')
			return false;
		start++;
		end--;
	}
	if (end <= start || (size_t)(end - start) >= sizeof(host))
		return false;
	memcpy(host, start, (size_t)(end - start));
	host[end - start] = '\0';
	if (!ip_addr_parse(&endpoint->addr, host))
		return false;
	if (endpoint->addr.is_v6 != (text[0] == '['))
		return false;
	return port_parse(&endpoint->port, colon + 1);
}

/*
 * Formats the endpoint into a buffer of ENDPOINT_TEXT_BYTES and returns the
 * buffer.
 */
const char *endpoint_format(const struct endpoint *endpoint, char *text)
{
	char host[IP_ADDR_TEXT_BYTES];
	const char *format = endpoint->addr.is_v6 ? "[%s]:%u" : "%s:%u";

	ip_addr_format(&endpoint->addr, host);
	snprintf(text, ENDPOINT_TEXT_BYTES, format, host, endpoint->port);
	return text;
}

/* Returns whether the endpoints have the same address and port. */
bool endpoint_equal(const struct endpoint *a, const struct endpoint *b)
{
	return a->port == b->port && ip_addr_equal(&a->addr, &b->addr);
}

/* Hashes an endpoint with XXH3. The value is the same in every process. */
uint64_t endpoint_hash(const struct endpoint *endpoint, uint64_t seed)
{
	uint8_t bytes[IP_ADDR_BYTES + 3];

	memcpy(bytes, endpoint->addr.bytes, IP_ADDR_BYTES);
	bytes[IP_ADDR_BYTES] = endpoint->addr.is_v6;
	bytes[IP_ADDR_BYTES + 1] = (uint8_t)(endpoint->port >> 8);
	bytes[IP_ADDR_BYTES + 2] = (uint8_t)endpoint->port;
	return XXH3_64bits_withSeed(bytes, sizeof(bytes), seed);
}
