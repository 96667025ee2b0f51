#include <wire/packet.h>

#include <netinet/in.h>
#include <string.h>

#define IPV4_HEADER_BYTES 20
#define IPV6_HEADER_BYTES 40
#define PORTS_BYTES 4
#define TCP_HEADER_BYTES 20
#define TCP_FLAGS_OFFSET 13
#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10
#define IPV4_FRAGMENT_MASK 0x3fff

/* A header as read so far: what is left of the bytes, and the protocol. */
struct cursor {
	const uint8_t *bytes;
	size_t length_bytes;
	uint8_t protocol;
};

static uint16_t read_u16(const uint8_t *bytes)
{
	return (uint16_t)(bytes[0] << 8 | bytes[1]);
}

static bool read_ipv4(struct cursor *cursor, struct flow_key *key)
{
	const uint8_t *bytes = cursor->bytes;
	size_t header_bytes;
	size_t total_bytes;

	if (cursor->length_bytes < IPV4_HEADER_BYTES)
		return false;
	header_bytes = (size_t)(bytes[0] & 0x0f) * 4;
	total_bytes = read_u16(bytes + 2);
	if (header_bytes < IPV4_HEADER_BYTES || total_bytes < header_bytes ||
	    total_bytes > cursor->length_bytes)
		return false;
	/* A fragment carries no ports, so its flow cannot be told. */
	if (read_u16(bytes + 6) & IPV4_FRAGMENT_MASK)
		return false;
	memcpy(key->caller.addr.bytes, bytes + 12, 4);
	memcpy(key->service.addr.bytes, bytes + 16, 4);
	cursor->protocol = bytes[9];
	cursor->bytes += header_bytes;
	cursor->length_bytes = total_bytes - header_bytes;
	return true;
}

static bool read_ipv6(struct cursor *cursor, struct flow_key *key)
{
	const uint8_t *bytes = cursor->bytes;
	size_t payload_bytes;

	if (cursor->length_bytes < IPV6_HEADER_BYTES)
		return false;
	payload_bytes = read_u16(bytes + 4);
	if (payload_bytes > cursor->length_bytes - IPV6_HEADER_BYTES)
		return false;
	memcpy(key->caller.addr.bytes, bytes + 8, IP_ADDR_BYTES);
	memcpy(key->service.addr.bytes, bytes + 24, IP_ADDR_BYTES);
	key->caller.addr.is_v6 = 1;
	key->service.addr.is_v6 = 1;
	cursor->protocol = bytes[6];
	cursor->bytes += IPV6_HEADER_BYTES;
	cursor->length_bytes = payload_bytes;
	return true;
}

static enum packet_kind kind_of_flags(uint8_t flags)
{
	if (flags & TCP_RST)
		return PACKET_RESET;
	if ((flags & (TCP_SYN | TCP_ACK)) == TCP_SYN)
		return PACKET_FIRST;
	return flags & TCP_FIN ? PACKET_LAST : PACKET_MIDDLE;
}

static bool read_transport(const struct cursor *cursor,
			   struct packet_event *event)
{
	const uint8_t *bytes = cursor->bytes;

	if (cursor->length_bytes < PORTS_BYTES)
		return false;
	event->key.protocol = cursor->protocol;
	event->key.caller.port = read_u16(bytes);
	event->key.service.port = read_u16(bytes + 2);
	if (cursor->protocol == IPPROTO_UDP) {
		/* UDP has no opening packet; the record tells new from old. */
		event->kind = PACKET_FIRST;
		return true;
	}
	if (cursor->protocol != IPPROTO_TCP ||
	    cursor->length_bytes < TCP_HEADER_BYTES)
		return false;
	event->kind = kind_of_flags(bytes[TCP_FLAGS_OFFSET]);
	return true;
}

/*
 * Reads an IPv4 or IPv6 packet that carries TCP or UDP. Returns false when it
 * is truncated, a fragment, malformed or of another protocol; the event is
 * then undefined.
 */
bool packet_parse(struct packet_event *event, const uint8_t *bytes,
		  size_t length_bytes)
{
	struct cursor cursor = {.bytes = bytes, .length_bytes = length_bytes};
	uint8_t version;

	memset(event, 0, sizeof(*event));
	if (length_bytes == 0)
		return false;
	version = bytes[0] >> 4;
	if (version == 4 && !read_ipv4(&cursor, &event->key))
		return false;
	if (version == 6 && !read_ipv6(&cursor, &event->key))
		return false;
	if (version != 4 && version != 6)
		return false;
	return read_transport(&cursor, event);
}
