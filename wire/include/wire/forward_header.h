#ifndef WIRE_FORWARD_HEADER_H
#define WIRE_FORWARD_HEADER_H

#include <stdbool.h>
#include <stdint.h>

#define FORWARD_HEADER_BYTES 12

/*
 * What a node puts before a packet that it sends to another node. It carries
 * no authority: the packet behind it is placed by the receiver's own records
 * and rules, as one from the fabric is. The receiver also takes it only from
 * the packet address of a live node of that id, so that a stray host cannot
 * have packets treated as the last hop's.
 */
struct forward_header {
	uint8_t hop_count;
	uint64_t from_node_id;
	/* Where the packet starts; later versions may have longer headers. */
	uint32_t length_bytes;
};

bool forward_header_is_there(const uint8_t *bytes, uint32_t length_bytes);
void forward_header_write(uint8_t *bytes, const struct forward_header *header);
bool forward_header_read(struct forward_header *header, const uint8_t *bytes,
			 uint32_t length_bytes);

#endif
