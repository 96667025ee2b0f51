#ifndef FAKES_FLOW_CHANGE_H
#define FAKES_FLOW_CHANGE_H

#include <fakes/flow_fleet.h>

/*
 * A planned change of a fleet that must cut no flow. nth is 0, or 1 for the
 * second of its kind. The fleet settles within settle_ms.
 */
struct flow_change {
	const char *name;
	uint32_t settle_ms;
	void (*apply)(struct flow_fleet *fleet, uint32_t nth);
};

extern const struct flow_change flow_changes[];
extern const uint32_t flow_change_count;

#endif
