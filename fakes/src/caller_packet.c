#include "caller_packet.h"

#include <string.h>
#include <wire/packet.h>

#define CALLER_NET 100
#define CALLER_PORT 40000
#define IPV4_HEADER_BYTES 20
#define TTL 64
#define PROTOCOL_TCP 6
#define TCP_WORDS 0x50
#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_ACK 0x10

static void write_u16(uint8_t *bytes, uint16_t value)
{
	bytes[0] = (uint8_t)(value >> 8);
	bytes[1] = (uint8_t)value;
}

static uint8_t flags_of(const struct caller_packet *packet)
{
	if (packet->is_first)
		return TCP_SYN;
	return packet->is_last ? TCP_FIN | TCP_ACK : TCP_ACK;
}

/*
 * Writes CALLER_PACKET_BYTES bytes. The checksums stay 0, since no receiver
 * verifies them.
 */
void caller_packet_build(const struct caller_packet *packet, uint8_t *bytes)
{
	uint8_t *tcp = bytes + IPV4_HEADER_BYTES;

	memset(bytes, 0, CALLER_PACKET_BYTES);
	bytes[0] = 0x45;
	write_u16(bytes + 2, CALLER_PACKET_BYTES);
	bytes[8] = TTL;
	bytes[9] = PROTOCOL_TCP;
	bytes[12] = CALLER_NET;
	bytes[13] = (uint8_t)(packet->flow >> 16);
	bytes[14] = (uint8_t)(packet->flow >> 8);
	bytes[15] = (uint8_t)packet->flow;
	memcpy(bytes + 16, packet->service.addr.bytes, 4);
	write_u16(tcp, CALLER_PORT);
	write_u16(tcp + 2, packet->service.port);
	tcp[12] = TCP_WORDS;
	tcp[13] = flags_of(packet);
}

/*
 * Reads the flow's number. Returns false if caller_packet_build did not write
 * the packet.
 */
bool caller_packet_read_flow(const uint8_t *bytes, uint32_t length_bytes,
			     uint32_t *flow)
{
	struct packet_event event;
	const uint8_t *addr = event.key.caller.addr.bytes;

	if (!packet_parse(&event, bytes, length_bytes) || addr[0] != CALLER_NET)
		return false;
	*flow = (uint32_t)addr[1] << 16 | (uint32_t)addr[2] << 8 | addr[3];
	return true;
}
