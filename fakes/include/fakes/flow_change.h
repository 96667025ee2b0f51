#ifndef FAKES_FLOW_CHANGE_H
#define FAKES_FLOW_CHANGE_H

#include <fakes/flow_fleet.h>

/*
 * A planned change of a simulated fleet, which must not break any flow. The
 * same change may be applied twice in a run; nth is 0 the first time and 1 the
 * second. The fleet has settled settle_ms after the change.
 */
struct flow_change {
	const char *name;
	uint32_t settle_ms;
	void (*apply)(struct flow_fleet *fleet, uint32_t nth);
};

extern const struct flow_change flow_changes[];
extern const uint32_t flow_change_count;

#endif
