#ifndef WIRE_FORWARD_HEADER_H
#define WIRE_FORWARD_HEADER_H

#include <stdbool.h>
#include <stdint.h>

#define FORWARD_HEADER_BYTES 12

/*
 * The header that a node prepends to a packet that it forwards to another
 * node. The header is not authenticated: the receiver chooses the packet's
 * target from its own flow table and rules, as for a packet from the fabric.
 * The receiver also accepts the header only from the packets address of the
 * live node from_node_id, so that a host that is not a node cannot have its
 * packets treated as being on their last hop.
 */
struct forward_header {
	uint8_t hop_count;
	uint64_t from_node_id;
	/* Also the packet's offset; later versions may have longer headers. */
	uint32_t length_bytes;
};

bool forward_header_is_present(const uint8_t *bytes, uint32_t length_bytes);
void forward_header_write(uint8_t *bytes, const struct forward_header *header);
bool forward_header_read(struct forward_header *header, const uint8_t *bytes,
			 uint32_t length_bytes);

#endif
