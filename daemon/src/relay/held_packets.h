#ifndef HELD_PACKETS_H
#define HELD_PACKETS_H

#include <stdbool.h>
#include <stdint.h>

/* Packets that wait, in the order in which they came, bounded. */
struct held_packets;

struct held_packets *held_packets_new(void);
void held_packets_free(struct held_packets *held);
bool held_packets_add(struct held_packets *held, const uint8_t *bytes,
		      uint32_t length_bytes);
bool held_packets_is_empty(const struct held_packets *held);
void held_packets_release(struct held_packets *held, void *context,
			  void (*take)(void *context, const uint8_t *bytes,
				       uint32_t length_bytes));

#endif
