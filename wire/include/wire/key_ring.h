#ifndef WIRE_KEY_RING_H
#define WIRE_KEY_RING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define KEY_RING_KEY_COUNT_MAX 2
#define MAC_BYTES 16

/*
 * The keys that the nodes share. Messages are signed with the first key and
 * accepted with any, so that keys can be rotated while nodes still differ in
 * which key is first.
 */
struct key_ring;

/* Two byte ranges, which are signed as if they were concatenated. */
struct mac_input {
	const uint8_t *head;
	uint32_t head_bytes;
	const uint8_t *tail;
	uint32_t tail_bytes;
};

struct key_ring *key_ring_read(const char *path, GError **error);
void key_ring_free(struct key_ring *ring);
uint32_t key_ring_signing_key_id(const struct key_ring *ring);
void key_ring_sign(const struct key_ring *ring, const struct mac_input *input,
		   uint8_t *mac);
bool key_ring_verify(const struct key_ring *ring, uint32_t key_id,
		     const struct mac_input *input, const uint8_t *mac);

#endif
