#ifndef OPENING_COPIES_H
#define OPENING_COPIES_H

#include <fakes/flow_packet.h>
#include <glib.h>

/* An opening packet, and the host that it was sent to. */
struct opening_copy {
	int64_t sent_ms;
	uint64_t host_id;
	uint32_t service;
	uint32_t length_bytes;
	uint8_t bytes[FLOW_PACKET_BYTES_MAX];
};

/* Copies of the opening packets that a faulty node sent, oldest first. */
struct opening_copies;

struct opening_copies *opening_copies_new(void);
void opening_copies_free(struct opening_copies *copies);
void opening_copies_add(struct opening_copies *copies,
			const struct opening_copy *copy);
bool opening_copies_take(struct opening_copies *copies,
			 struct opening_copy *copy, int64_t sent_before_ms);

#endif
