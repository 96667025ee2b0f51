#include <fakes/flow_packet.h>

#include <string.h>
#include <xxhash.h>

/* Byte offsets of the header fields. Integers are little-endian. */
enum field_offset {
	OFFSET_FLAGS = 0,
	OFFSET_TAG = 4,
	OFFSET_LENGTH = 8,
	OFFSET_DESTINATION = 10,
	OFFSET_SOURCE_PORT = 14,
	OFFSET_DESTINATION_PORT = 16,
	OFFSET_SOURCE = 18,
	OFFSET_CHECKSUM = 22,
	OFFSET_SEQUENCE = 26,
	OFFSET_ACKNOWLEDGED = 30,
};

#define BITS_PER_BYTE 8
#define IPV4_BYTES 4
#define CHECKSUM_SEED 0x5a17

static uint32_t read_le(const uint8_t *bytes, uint32_t count)
{
	uint32_t value = 0;

	for (uint32_t i = count; i-- > 0;)
		value = value << BITS_PER_BYTE | bytes[i];
	return value;
}

static void write_le(uint8_t *bytes, uint32_t value, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		bytes[i] = (uint8_t)value;
		value >>= BITS_PER_BYTE;
	}
}

/*
 * Writes an IPv4 address as a little-endian integer whose most significant byte
 * is the first byte of the address.
 */
static void write_address(uint8_t *bytes, const struct endpoint *endpoint)
{
	for (uint32_t i = 0; i < IPV4_BYTES; i++)
		bytes[i] = endpoint->addr.bytes[IPV4_BYTES - 1 - i];
}

/*
 * Computes the checksum of the complete packet with the tag, the padding and
 * the checksum field taken as zero. The result is never 0, which marks an
 * injected reset.
 */
static uint32_t checksum_of(const uint8_t *bytes, uint32_t length_bytes)
{
	uint8_t copy[FLOW_PACKET_BYTES_MAX];

	memcpy(copy, bytes, length_bytes);
	memset(copy + 1, 0, OFFSET_LENGTH - 1);
	memset(copy + OFFSET_CHECKSUM, 0, sizeof(uint32_t));
	return (uint32_t)XXH64(copy, length_bytes, CHECKSUM_SEED) | 1;
}

/* Writes a packet with its checksum and returns its length in bytes. */
uint32_t flow_packet_write(uint8_t *bytes, const struct flow_packet *packet)
{
	uint32_t length_bytes = FLOW_PACKET_HEADER_BYTES + packet->data_bytes;

	memset(bytes, 0, FLOW_PACKET_HEADER_BYTES);
	bytes[OFFSET_FLAGS] = packet->flags;
	write_le(bytes + OFFSET_TAG, packet->tag, 4);
	write_le(bytes + OFFSET_LENGTH, packet->data_bytes, 2);
	write_address(bytes + OFFSET_DESTINATION, &packet->destination);
	write_address(bytes + OFFSET_SOURCE, &packet->source);
	write_le(bytes + OFFSET_DESTINATION_PORT, packet->destination.port, 2);
	write_le(bytes + OFFSET_SOURCE_PORT, packet->source.port, 2);
	write_le(bytes + OFFSET_SEQUENCE, packet->sequence, 4);
	write_le(bytes + OFFSET_ACKNOWLEDGED, packet->acknowledged, 4);
	if (packet->data_bytes > 0)
		memcpy(bytes + FLOW_PACKET_HEADER_BYTES, packet->data,
		       packet->data_bytes);
	write_le(bytes + OFFSET_CHECKSUM, checksum_of(bytes, length_bytes), 4);
	return length_bytes;
}

/*
 * Writes the reset that a node on the path sends to the caller in reply to a
 * packet. Its checksum is 0.
 */
void flow_packet_write_injected_reset(uint8_t *bytes,
				      const struct flow_packet *answered)
{
	struct flow_packet reset = {
		.flags = FLOW_PACKET_RST,
		.source = answered->destination,
		.destination = answered->source,
		.sequence = answered->acknowledged,
	};

	flow_packet_write(bytes, &reset);
	write_le(bytes + OFFSET_CHECKSUM, 0, 4);
}

static void read_fields(struct flow_packet *packet, const uint8_t *bytes)
{
	*packet = (struct flow_packet){
		.source.addr = ip_addr_from_v4(
			read_le(bytes + OFFSET_SOURCE, IPV4_BYTES)),
		.destination.addr = ip_addr_from_v4(
			read_le(bytes + OFFSET_DESTINATION, IPV4_BYTES)),
		.tag = read_le(bytes + OFFSET_TAG, 4),
		.sequence = read_le(bytes + OFFSET_SEQUENCE, 4),
		.acknowledged = read_le(bytes + OFFSET_ACKNOWLEDGED, 4),
		.data_bytes = (uint16_t)read_le(bytes + OFFSET_LENGTH, 2),
		.flags = bytes[OFFSET_FLAGS],
		.data = bytes + FLOW_PACKET_HEADER_BYTES,
	};
	packet->source.port = (uint16_t)read_le(bytes + OFFSET_SOURCE_PORT, 2);
	packet->destination.port =
		(uint16_t)read_le(bytes + OFFSET_DESTINATION_PORT, 2);
}

/* Reads a packet and verifies its length and checksum. */
enum flow_packet_result flow_packet_read(struct flow_packet *packet,
					 const uint8_t *bytes,
					 uint32_t length_bytes)
{
	uint32_t checksum;

	if (length_bytes < FLOW_PACKET_HEADER_BYTES ||
	    length_bytes > FLOW_PACKET_BYTES_MAX)
		return FLOW_PACKET_MALFORMED;
	read_fields(packet, bytes);
	if (packet->data_bytes != length_bytes - FLOW_PACKET_HEADER_BYTES)
		return FLOW_PACKET_MALFORMED;
	checksum = read_le(bytes + OFFSET_CHECKSUM, 4);
	if (checksum == 0 && packet->flags == FLOW_PACKET_RST &&
	    packet->data_bytes == 0)
		return FLOW_PACKET_INJECTED_RESET;
	return checksum == checksum_of(bytes, length_bytes)
		       ? FLOW_PACKET_VALID
		       : FLOW_PACKET_CORRUPT;
}

/* Replaces the tag, which the checksum does not cover. */
void flow_packet_write_tag(uint8_t *bytes, uint32_t tag)
{
	write_le(bytes + OFFSET_TAG, tag, 4);
}

/* Writes the id of the intended host in big-endian order. 0 means any host. */
void flow_packet_write_host_id(uint8_t *bytes, uint64_t host_id)
{
	for (uint32_t i = FLOW_PACKET_HOST_ID_BYTES; i-- > 0;) {
		bytes[i] = (uint8_t)host_id;
		host_id >>= BITS_PER_BYTE;
	}
}

/* Reads the id of the intended host; 0 means any host. */
uint64_t flow_packet_read_host_id(const uint8_t *bytes)
{
	uint64_t host_id = 0;

	for (uint32_t i = 0; i < FLOW_PACKET_HOST_ID_BYTES; i++)
		host_id = host_id << BITS_PER_BYTE | bytes[i];
	return host_id;
}
