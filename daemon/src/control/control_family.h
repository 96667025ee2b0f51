#ifndef CONTROL_FAMILY_H
#define CONTROL_FAMILY_H

#include <stdbool.h>
#include <stdint.h>

/* The families of messages between nodes, the most urgent first. */
enum control_family {
	CONTROL_MEMBERS,
	CONTROL_CLAIMS,
	CONTROL_CONFIG,
	CONTROL_FLOWS,
	CONTROL_FAMILY_COUNT,
};

/*
 * How a family is paced. Probes must not wait behind other bytes, or members
 * would look dead: they are charged to the budget without waiting for it.
 * Claims grow with requests, not with the fleet, and are not charged.
 */
struct control_family_row {
	uint32_t procedure_first;
	uint32_t procedure_end;
	uint32_t queue_capacity;
	bool is_charged;
	bool is_waiting;
};

extern const struct control_family_row control_families[CONTROL_FAMILY_COUNT];

bool control_family_of(uint32_t procedure, enum control_family *family);

#endif
