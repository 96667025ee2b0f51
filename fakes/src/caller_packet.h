#ifndef CALLER_PACKET_H
#define CALLER_PACKET_H

#include <core/endpoint.h>
#include <stdbool.h>

#define CALLER_PACKET_BYTES 40

/*
 * An IPv4 TCP packet without payload. The low 24 bits of its source address are
 * the flow's number.
 */
struct caller_packet {
	uint32_t flow;
	struct endpoint service;
	bool is_first;
	bool is_last;
};

void caller_packet_build(const struct caller_packet *packet, uint8_t *bytes);
bool caller_packet_read_flow(const uint8_t *bytes, uint32_t length_bytes,
			     uint32_t *flow);

#endif
