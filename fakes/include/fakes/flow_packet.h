#ifndef FAKES_FLOW_PACKET_H
#define FAKES_FLOW_PACKET_H

#include <core/endpoint.h>

#define FLOW_PACKET_HEADER_BYTES 34
#define FLOW_PACKET_DATA_BYTES_MAX 1200
#define FLOW_PACKET_BYTES_MAX                                                  \
	(FLOW_PACKET_HEADER_BYTES + FLOW_PACKET_DATA_BYTES_MAX)
/* Length of the host id that precedes each packet sent to a host. */
#define FLOW_PACKET_HOST_ID_BYTES 8

enum flow_packet_flag {
	FLOW_PACKET_SYN = 2,
	FLOW_PACKET_RST = 16,
	FLOW_PACKET_ACK = 64,
	FLOW_PACKET_FIN = 128,
};

/*
 * A packet as callers and hosts read and write it. The creator of the packet
 * owns data; after flow_packet_read, data points into the bytes that were read.
 */
struct flow_packet {
	struct endpoint source;
	struct endpoint destination;
	uint32_t tag;
	uint32_t sequence;
	uint32_t acknowledged;
	uint16_t data_bytes;
	uint8_t flags;
	const uint8_t *data;
};

enum flow_packet_result {
	FLOW_PACKET_VALID,
	/*
	 * A reset with a zero checksum, injected by something on the path
	 * between caller and host.
	 */
	FLOW_PACKET_INJECTED_RESET,
	FLOW_PACKET_MALFORMED,
	FLOW_PACKET_CORRUPT,
};

uint32_t flow_packet_write(uint8_t *bytes, const struct flow_packet *packet);
void flow_packet_write_injected_reset(uint8_t *bytes,
				      const struct flow_packet *answered);
enum flow_packet_result flow_packet_read(struct flow_packet *packet,
					 const uint8_t *bytes,
					 uint32_t length_bytes);
void flow_packet_write_tag(uint8_t *bytes, uint32_t tag);
void flow_packet_write_host_id(uint8_t *bytes, uint64_t host_id);
uint64_t flow_packet_read_host_id(const uint8_t *bytes);

#endif
