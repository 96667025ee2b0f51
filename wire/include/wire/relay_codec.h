#ifndef WIRE_RELAY_CODEC_H
#define WIRE_RELAY_CODEC_H

#include <core/relay_message.h>

#define RELAY_DATAGRAM_BYTES_MAX 1400

uint32_t relay_codec_encode(const struct relay_message *message, uint8_t *bytes,
			    uint32_t size_bytes);
bool relay_codec_decode(struct relay_message *message, const uint8_t *bytes,
			uint32_t length_bytes);

#endif
