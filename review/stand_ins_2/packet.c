#include "world.h"

#include <string.h>

/* Any sum will do: the nodes do not know the key. */
#define SUM_KEY 2166136261U
#define SUM_FACTOR 16777619U

static void put(uint8_t *bytes, uint32_t number, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		bytes[i] = (uint8_t)(number >> (8 * i));
}

static uint32_t get(const uint8_t *bytes, uint32_t count)
{
	uint32_t number = 0;

	for (uint32_t i = count; i-- > 0;)
		number = number << 8 | bytes[i];
	return number;
}

static uint32_t add_number(uint32_t sum, uint32_t number)
{
	for (uint32_t i = 0; i < 4; i++)
		sum = (sum ^ (uint8_t)(number >> (8 * i))) * SUM_FACTOR;
	return sum;
}

/* The sum of all fields except echo, pad and BOUNCED; never 0. */
static uint32_t sum_of(const struct packet *packet)
{
	uint32_t sum = SUM_KEY;

	sum = add_number(sum, packet->flags & (uint8_t)~PACKET_BOUNCED);
	sum = add_number(sum, packet->length);
	sum = add_number(sum, packet->to);
	sum = add_number(sum, packet->from);
	sum = add_number(sum, packet->to_port);
	sum = add_number(sum, packet->from_port);
	sum = add_number(sum, packet->sequence);
	sum = add_number(sum, packet->acknowledged);
	for (uint32_t i = 0; i < packet->length; i++)
		sum = (sum ^ packet->data[i]) * SUM_FACTOR;
	return sum ? sum : 1;
}

/* Writes a packet with its sum and returns its length. */
uint32_t packet_write(uint8_t *bytes, struct packet *packet)
{
	packet->sum = sum_of(packet);
	memset(bytes, 0, HEADER_BYTES);
	bytes[0] = packet->flags;
	put(bytes + 4, packet->echo, 4);
	put(bytes + 8, packet->length, 2);
	put(bytes + 10, packet->to, 4);
	put(bytes + 14, packet->from_port, 2);
	put(bytes + 16, packet->to_port, 2);
	put(bytes + 18, packet->from, 4);
	put(bytes + 22, packet->sum, 4);
	put(bytes + 26, packet->sequence, 4);
	put(bytes + 30, packet->acknowledged, 4);
	memcpy(bytes + HEADER_BYTES, packet->data, packet->length);
	return HEADER_BYTES + packet->length;
}

/* Returns whether the bytes are a packet; its sum may be wrong. */
bool packet_read(struct packet *packet, const uint8_t *bytes, uint32_t length)
{
	if (length < HEADER_BYTES || length > HEADER_BYTES + DATA_BYTES_MAX)
		return false;
	packet->flags = bytes[0];
	packet->echo = get(bytes + 4, 4);
	packet->length = (uint16_t)get(bytes + 8, 2);
	packet->to = get(bytes + 10, 4);
	packet->from_port = (uint16_t)get(bytes + 14, 2);
	packet->to_port = (uint16_t)get(bytes + 16, 2);
	packet->from = get(bytes + 18, 4);
	packet->sum = get(bytes + 22, 4);
	packet->sequence = get(bytes + 26, 4);
	packet->acknowledged = get(bytes + 30, 4);
	if (packet->length != length - HEADER_BYTES)
		return false;
	memcpy(packet->data, bytes + HEADER_BYTES, packet->length);
	return true;
}

/* Returns whether the sum is that of the packet's fields. */
bool packet_is_genuine(const struct packet *packet)
{
	return packet->sum == sum_of(packet);
}
