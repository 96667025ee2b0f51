#ifndef CONTROL_FAMILY_H
#define CONTROL_FAMILY_H

#include <stdbool.h>
#include <stdint.h>

/* Families of messages between nodes, in order of priority, highest first. */
enum control_family {
	CONTROL_MEMBERS,
	CONTROL_CLAIMS,
	CONTROL_CONFIG,
	CONTROL_FLOWS,
	CONTROL_FAMILY_COUNT,
};

/*
 * Procedure range, queue length and rate limiting of a family. is_charged: its
 * messages use up the byte budget; is_throttled: they also wait for it. Probes
 * must not wait behind other traffic, or live members would be declared dead:
 * they are charged but not throttled. Claims grow with the request rate, not
 * with the fleet size, and are not charged.
 */
struct control_family_row {
	uint32_t procedure_first;
	uint32_t procedure_end;
	uint32_t queue_capacity;
	bool is_charged;
	bool is_throttled;
};

extern const struct control_family_row control_families[CONTROL_FAMILY_COUNT];

bool control_family_of(uint32_t procedure, enum control_family *family);

#endif
