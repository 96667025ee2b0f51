#ifndef WIRE_PACKET_H
#define WIRE_PACKET_H

#include <core/packet_event.h>
#include <stdbool.h>
#include <stddef.h>

#define PACKET_BYTES_MAX 65535

bool packet_parse(struct packet_event *event, const uint8_t *bytes,
		  size_t length_bytes);

#endif
