#include <wire/forward_header.h>

#include <string.h>

/* No IP version has this number, so a bare packet is told from a forwarded. */
#define MARK 0xf0
#define MARK_MASK 0xf0
#define VERSION 1
#define VERSION_MASK 0x0f
#define HOP_AT 1
#define LENGTH_AT 2
#define NODE_AT 4
#define BYTE_BITS 8

/* Tells whether a datagram starts with a header rather than a packet. */
bool forward_header_is_there(const uint8_t *bytes, uint32_t length_bytes)
{
	return length_bytes > 0 && (bytes[0] & MARK_MASK) == MARK;
}

/* Writes FORWARD_HEADER_BYTES bytes. */
void forward_header_write(uint8_t *bytes, const struct forward_header *header)
{
	uint64_t node_id = header->from_node_id;

	memset(bytes, 0, FORWARD_HEADER_BYTES);
	bytes[0] = MARK | VERSION;
	bytes[HOP_AT] = header->hop_count;
	bytes[LENGTH_AT + 1] = FORWARD_HEADER_BYTES;
	for (uint32_t i = 0; i < sizeof(node_id); i++)
		bytes[NODE_AT + i] =
			(uint8_t)(node_id >>
				  BYTE_BITS * (sizeof(node_id) - 1 - i));
}

/*
 * Reads a header of this or a later version, which keeps the fields that are
 * known here. Returns false when it is truncated or malformed.
 */
bool forward_header_read(struct forward_header *header, const uint8_t *bytes,
			 uint32_t length_bytes)
{
	memset(header, 0, sizeof(*header));
	if (length_bytes < FORWARD_HEADER_BYTES ||
	    !forward_header_is_there(bytes, length_bytes) ||
	    (bytes[0] & VERSION_MASK) < VERSION)
		return false;
	header->hop_count = bytes[HOP_AT];
	header->length_bytes =
		(uint32_t)bytes[LENGTH_AT] << BYTE_BITS | bytes[LENGTH_AT + 1];
	for (uint32_t i = 0; i < sizeof(header->from_node_id); i++)
		header->from_node_id =
			header->from_node_id << BYTE_BITS | bytes[NODE_AT + i];
	return header->hop_count > 0 &&
	       header->length_bytes >= FORWARD_HEADER_BYTES &&
	       header->length_bytes <= length_bytes;
}
