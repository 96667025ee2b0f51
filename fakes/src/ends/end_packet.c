#include <fakes/end_packet.h>

#include <string.h>
#include <xxhash.h>

/* Where the fields stand; numbers are little-endian. */
enum offset {
	OFFSET_FLAGS = 0,
	OFFSET_TAG = 4,
	OFFSET_LENGTH = 8,
	OFFSET_DESTINATION = 10,
	OFFSET_SOURCE_PORT = 14,
	OFFSET_DESTINATION_PORT = 16,
	OFFSET_SOURCE = 18,
	OFFSET_SUM = 22,
	OFFSET_SEQUENCE = 26,
	OFFSET_ACKNOWLEDGED = 30,
};

#define BITS_PER_BYTE 8
#define V4_BYTES 4
#define SUM_KEY 0x5a17

static uint32_t read_number(const uint8_t *bytes, uint32_t count)
{
	uint32_t number = 0;

	for (uint32_t i = count; i-- > 0;)
		number = number << BITS_PER_BYTE | bytes[i];
	return number;
}

static void write_number(uint8_t *bytes, uint32_t number, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		bytes[i] = (uint8_t)number;
		number >>= BITS_PER_BYTE;
	}
}

/* An address has its first byte in the highest bits of the number. */
static void write_address(uint8_t *bytes, const struct endpoint *endpoint)
{
	for (uint32_t i = 0; i < V4_BYTES; i++)
		bytes[i] = endpoint->addr.bytes[V4_BYTES - 1 - i];
}

/* The sum covers everything but the tag, the padding and itself. */
static uint32_t sum_of(const uint8_t *bytes, uint32_t length_bytes)
{
	uint8_t copy[END_PACKET_BYTES_MAX];

	memcpy(copy, bytes, length_bytes);
	memset(copy + 1, 0, OFFSET_LENGTH - 1);
	memset(copy + OFFSET_SUM, 0, sizeof(uint32_t));
	return (uint32_t)XXH64(copy, length_bytes, SUM_KEY) | 1;
}

/* Writes a packet with its sum; returns its length in bytes. */
uint32_t end_packet_write(uint8_t *bytes, const struct end_packet *packet)
{
	uint32_t length_bytes = END_PACKET_HEADER_BYTES + packet->data_bytes;

	memset(bytes, 0, END_PACKET_HEADER_BYTES);
	bytes[OFFSET_FLAGS] = packet->flags;
	write_number(bytes + OFFSET_TAG, packet->tag, 4);
	write_number(bytes + OFFSET_LENGTH, packet->data_bytes, 2);
	write_address(bytes + OFFSET_DESTINATION, &packet->destination);
	write_address(bytes + OFFSET_SOURCE, &packet->source);
	write_number(bytes + OFFSET_DESTINATION_PORT, packet->destination.port,
		     2);
	write_number(bytes + OFFSET_SOURCE_PORT, packet->source.port, 2);
	write_number(bytes + OFFSET_SEQUENCE, packet->sequence, 4);
	write_number(bytes + OFFSET_ACKNOWLEDGED, packet->acknowledged, 4);
	if (packet->data_bytes > 0)
		memcpy(bytes + END_PACKET_HEADER_BYTES, packet->data,
		       packet->data_bytes);
	write_number(bytes + OFFSET_SUM, sum_of(bytes, length_bytes), 4);
	return length_bytes;
}

/* Writes the reset that something between the ends answers a caller with. */
void end_packet_write_foreign_reset(uint8_t *bytes,
				    const struct end_packet *answered)
{
	struct end_packet reset = {
		.flags = END_FLAG_RST,
		.source = answered->destination,
		.destination = answered->source,
		.sequence = answered->acknowledged,
	};

	end_packet_write(bytes, &reset);
	write_number(bytes + OFFSET_SUM, 0, 4);
}

static void read_fields(struct end_packet *packet, const uint8_t *bytes)
{
	*packet = (struct end_packet){
		.source.addr = ip_addr_from_v4(
			read_number(bytes + OFFSET_SOURCE, V4_BYTES)),
		.destination.addr = ip_addr_from_v4(
			read_number(bytes + OFFSET_DESTINATION, V4_BYTES)),
		.tag = read_number(bytes + OFFSET_TAG, 4),
		.sequence = read_number(bytes + OFFSET_SEQUENCE, 4),
		.acknowledged = read_number(bytes + OFFSET_ACKNOWLEDGED, 4),
		.data_bytes = (uint16_t)read_number(bytes + OFFSET_LENGTH, 2),
		.flags = bytes[OFFSET_FLAGS],
		.data = bytes + END_PACKET_HEADER_BYTES,
	};
	packet->source.port =
		(uint16_t)read_number(bytes + OFFSET_SOURCE_PORT, 2);
	packet->destination.port =
		(uint16_t)read_number(bytes + OFFSET_DESTINATION_PORT, 2);
}

/* Reads a packet and checks that it is as its sender wrote it. */
enum end_packet_result end_packet_read(struct end_packet *packet,
				       const uint8_t *bytes,
				       uint32_t length_bytes)
{
	uint32_t sum;

	if (length_bytes < END_PACKET_HEADER_BYTES ||
	    length_bytes > END_PACKET_BYTES_MAX)
		return END_PACKET_MALFORMED;
	read_fields(packet, bytes);
	if (packet->data_bytes != length_bytes - END_PACKET_HEADER_BYTES)
		return END_PACKET_MALFORMED;
	sum = read_number(bytes + OFFSET_SUM, 4);
	if (sum == 0 && packet->flags == END_FLAG_RST &&
	    packet->data_bytes == 0)
		return END_PACKET_FOREIGN_RESET;
	return sum == sum_of(bytes, length_bytes) ? END_PACKET_WHOLE
						  : END_PACKET_CHANGED;
}

/* Replaces the tag, which the sum does not cover. */
void end_packet_write_tag(uint8_t *bytes, uint32_t tag)
{
	write_number(bytes + OFFSET_TAG, tag, 4);
}

/* Writes the id of the intended host, highest byte first; 0 is any host. */
void end_packet_write_host_id(uint8_t *bytes, uint64_t host_id)
{
	for (uint32_t i = END_PACKET_HOST_ID_BYTES; i-- > 0;) {
		bytes[i] = (uint8_t)host_id;
		host_id >>= BITS_PER_BYTE;
	}
}

/* Reads the id of the intended host. */
uint64_t end_packet_read_host_id(const uint8_t *bytes)
{
	uint64_t host_id = 0;

	for (uint32_t i = 0; i < END_PACKET_HOST_ID_BYTES; i++)
		host_id = host_id << BITS_PER_BYTE | bytes[i];
	return host_id;
}
