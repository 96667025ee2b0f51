#ifndef CONTROL_FAMILY_H
#define CONTROL_FAMILY_H

#include <stdbool.h>
#include <stdint.h>

/* Families of messages between nodes, in order of priority, highest first. */
enum control_family {
	CONTROL_FAMILY_MEMBERS,
	CONTROL_FAMILY_CLAIMS,
	CONTROL_FAMILY_CONFIG,
	CONTROL_FAMILY_FLOWS,
	CONTROL_FAMILY_COUNT,
};

/*
 * Procedure range (procedure_end is exclusive), queue length and rate limiting
 * of a family. is_charged: its messages use up the byte budget; is_throttled:
 * they also wait for it. Member messages include the failure detector's probes,
 * which must not wait behind other traffic, or live members would be declared
 * dead: they are charged but not throttled. Claim traffic grows with the
 * request rate, not with the fleet size, and is not charged.
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
