#ifndef HELD_PACKETS_H
#define HELD_PACKETS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A bounded FIFO queue of packets that are held while the node starts, with the
 * times when they arrived.
 */
struct held_packets;

struct held_packets *held_packets_new(void);
void held_packets_free(struct held_packets *held);
bool held_packets_add(struct held_packets *held, const uint8_t *bytes,
		      uint32_t length_bytes, int64_t arrived_ms);
bool held_packets_is_empty(const struct held_packets *held);
void held_packets_release(struct held_packets *held, void *context,
			  void (*handle_packet)(void *context,
						const uint8_t *bytes,
						uint32_t length_bytes,
						int64_t arrived_ms));

#endif
