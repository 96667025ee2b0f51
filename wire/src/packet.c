#include <wire/packet.h>

#include <netinet/in.h>
#include <string.h>

#define IPV4_HEADER_BYTES 20
#define IPV4_TOTAL_LENGTH_OFFSET 2
#define IPV4_FLAGS_OFFSET 6
#define IPV4_FRAGMENT_MASK 0x3fff
#define IPV4_PROTOCOL_OFFSET 9
#define IPV4_SOURCE_OFFSET 12
#define IPV4_DESTINATION_OFFSET 16
#define IPV4_ADDR_BYTES 4
#define IPV6_HEADER_BYTES 40
#define IPV6_PAYLOAD_LENGTH_OFFSET 4
#define IPV6_NEXT_HEADER_OFFSET 6
#define IPV6_SOURCE_OFFSET 8
#define IPV6_DESTINATION_OFFSET 24
#define PORTS_BYTES 4
#define TCP_HEADER_BYTES 20
#define TCP_FLAGS_OFFSET 13
#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_ACK 0x10

/* The remaining bytes of a packet, and the protocol of their header. */
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
	total_bytes = read_u16(bytes + IPV4_TOTAL_LENGTH_OFFSET);
	if (header_bytes < IPV4_HEADER_BYTES || total_bytes < header_bytes ||
	    total_bytes > cursor->length_bytes)
		return false;
	/* Only the first fragment has ports, so all fragments are rejected. */
	if (read_u16(bytes + IPV4_FLAGS_OFFSET) & IPV4_FRAGMENT_MASK)
		return false;
	memcpy(key->caller.addr.bytes, bytes + IPV4_SOURCE_OFFSET,
	       IPV4_ADDR_BYTES);
	memcpy(key->service.addr.bytes, bytes + IPV4_DESTINATION_OFFSET,
	       IPV4_ADDR_BYTES);
	cursor->protocol = bytes[IPV4_PROTOCOL_OFFSET];
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
	payload_bytes = read_u16(bytes + IPV6_PAYLOAD_LENGTH_OFFSET);
	if (payload_bytes > cursor->length_bytes - IPV6_HEADER_BYTES)
		return false;
	memcpy(key->caller.addr.bytes, bytes + IPV6_SOURCE_OFFSET,
	       IP_ADDR_BYTES);
	memcpy(key->service.addr.bytes, bytes + IPV6_DESTINATION_OFFSET,
	       IP_ADDR_BYTES);
	key->caller.addr.is_v6 = 1;
	key->service.addr.is_v6 = 1;
	cursor->protocol = bytes[IPV6_NEXT_HEADER_OFFSET];
	cursor->bytes += IPV6_HEADER_BYTES;
	cursor->length_bytes = payload_bytes;
	return true;
}

static enum packet_kind kind_from_flags(uint8_t flags)
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
		/* UDP has no SYN; the flow table identifies new flows. */
		event->kind = PACKET_FIRST;
		return true;
	}
	if (cursor->protocol != IPPROTO_TCP ||
	    cursor->length_bytes < TCP_HEADER_BYTES)
		return false;
	event->kind = kind_from_flags(bytes[TCP_FLAGS_OFFSET]);
	return true;
}

/*
 * Parses an IPv4 or IPv6 packet that carries TCP or UDP. Returns false if it is
 * truncated, a fragment, malformed or of another protocol; the event is then
 * undefined.
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
