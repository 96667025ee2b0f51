#include <wire/forward_header.h>

#include <string.h>

/* Not an IP version, so the first byte distinguishes a header from a packet. */
#define MAGIC 0xf0
#define MAGIC_MASK 0xf0
#define VERSION 1
#define VERSION_MASK 0x0f
#define HOP_COUNT_OFFSET 1
#define LENGTH_OFFSET 2
#define NODE_ID_OFFSET 4
#define BYTE_BITS 8

/* Returns whether a datagram starts with a header instead of a packet. */
bool forward_header_is_present(const uint8_t *bytes, uint32_t length_bytes)
{
	return length_bytes > 0 && (bytes[0] & MAGIC_MASK) == MAGIC;
}

/* Writes FORWARD_HEADER_BYTES bytes. */
void forward_header_write(uint8_t *bytes, const struct forward_header *header)
{
	uint64_t node_id = header->from_node_id;

	memset(bytes, 0, FORWARD_HEADER_BYTES);
	bytes[0] = MAGIC | VERSION;
	bytes[HOP_COUNT_OFFSET] = header->hop_count;
	bytes[LENGTH_OFFSET + 1] = FORWARD_HEADER_BYTES;
	for (uint32_t i = 0; i < sizeof(node_id); i++)
		bytes[NODE_ID_OFFSET + i] =
			(uint8_t)(node_id >>
				  BYTE_BITS * (sizeof(node_id) - 1 - i));
}

/*
 * Decodes a header of this or a later version, which keeps the fields of
 * version 1. Returns false if it is truncated or malformed.
 */
bool forward_header_read(struct forward_header *header, const uint8_t *bytes,
			 uint32_t length_bytes)
{
	memset(header, 0, sizeof(*header));
	if (length_bytes < FORWARD_HEADER_BYTES ||
	    !forward_header_is_present(bytes, length_bytes) ||
	    (bytes[0] & VERSION_MASK) < VERSION)
		return false;
	header->hop_count = bytes[HOP_COUNT_OFFSET];
	header->length_bytes = (uint32_t)bytes[LENGTH_OFFSET] << BYTE_BITS |
			       bytes[LENGTH_OFFSET + 1];
	for (uint32_t i = 0; i < sizeof(header->from_node_id); i++)
		header->from_node_id = header->from_node_id << BYTE_BITS |
				       bytes[NODE_ID_OFFSET + i];
	return header->hop_count > 0 &&
	       header->length_bytes >= FORWARD_HEADER_BYTES &&
	       header->length_bytes <= length_bytes;
}
