#ifndef CORE_RELAY_TARGET_H
#define CORE_RELAY_TARGET_H

#include <core/relay_health.h>
#include <core/target.h>

/*
 * A target as this node knows it. own_open_count counts this node's open
 * flows, peer_open_count those that peers told of. A target whose entry has
 * lapsed gets new flows until lapse_end_ms, as its entry may come back; after
 * gone_ms it only gets the flows that it has.
 */
struct relay_target {
	struct target target;
	uint32_t tag;
	uint32_t own_open_count;
	uint32_t peer_open_count;
	int64_t warm_ms;
	int64_t lapse_end_ms;
	int64_t gone_ms;
	struct relay_health health;
};

bool relay_target_is_open_to_new(const struct relay_target *known,
				 int64_t now_ms);
uint32_t relay_target_cost_milli(const struct relay_target *known,
				 int64_t now_ms);

#endif
