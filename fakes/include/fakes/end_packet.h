#ifndef FAKES_END_PACKET_H
#define FAKES_END_PACKET_H

#include <core/endpoint.h>

#define END_PACKET_HEADER_BYTES 34
#define END_PACKET_DATA_BYTES_MAX 1200
#define END_PACKET_BYTES_MAX                                                   \
	(END_PACKET_HEADER_BYTES + END_PACKET_DATA_BYTES_MAX)
/* The id of the intended host, before each packet that goes to one. */
#define END_PACKET_HOST_ID_BYTES 8

enum end_packet_flag {
	END_FLAG_SYN = 2,
	END_FLAG_RST = 16,
	END_FLAG_ACK = 64,
	END_FLAG_FIN = 128,
};

/*
 * A packet as the two ends of a flow read and write it. data belongs to whoever
 * made the packet, or lies in the bytes that it was read from.
 */
struct end_packet {
	struct endpoint source;
	struct endpoint destination;
	uint32_t tag;
	uint32_t sequence;
	uint32_t acknowledged;
	uint16_t data_bytes;
	uint8_t flags;
	const uint8_t *data;
};

enum end_packet_result {
	END_PACKET_WHOLE,
	/* A reset without a sum: written between the ends. */
	END_PACKET_FOREIGN_RESET,
	END_PACKET_MALFORMED,
	END_PACKET_CHANGED,
};

uint32_t end_packet_write(uint8_t *bytes, const struct end_packet *packet);
void end_packet_write_foreign_reset(uint8_t *bytes,
				    const struct end_packet *answered);
enum end_packet_result end_packet_read(struct end_packet *packet,
				       const uint8_t *bytes,
				       uint32_t length_bytes);
void end_packet_write_tag(uint8_t *bytes, uint32_t tag);
void end_packet_write_host_id(uint8_t *bytes, uint64_t host_id);
uint64_t end_packet_read_host_id(const uint8_t *bytes);

#endif
