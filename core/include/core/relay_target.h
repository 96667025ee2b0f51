#ifndef CORE_RELAY_TARGET_H
#define CORE_RELAY_TARGET_H

#include <core/relay_health.h>
#include <core/relay_warmup_tokens.h>
#include <core/relay_work_time.h>
#include <core/target.h>

/*
 * A target and the state that this node keeps for it. own_open_count is the
 * number of this node's open flows at the target, peer_open_count the number
 * that other nodes reported. warmup_end_ms is when the target's warm-up ends
 * by its latest entry; warmup has what the limit of its rate needs. removed_ms
 * is when its entry in the store was removed, 0 while it exists. As the entry
 * may come back, the target gets new flows until grace_end_ms, 0 while the
 * entry exists; after that it only receives the packets of its existing flows.
 * load_milli is a moving average of the share of the target's slots in use, as
 * far as this node knows, in thousandths. work_time is what this node saw of
 * the requests at the target, and pace_milli what relay_work_time_pace_milli
 * returned for it, 0 if it was not asked yet. set_flags are the sets of the
 * directory that the target is in. life_ms is when the target last received a
 * packet of this node, as its answer showed.
 */
struct relay_target {
	struct target target;
	uint32_t tag;
	uint32_t own_open_count;
	uint32_t peer_open_count;
	int64_t warmup_end_ms;
	int64_t grace_end_ms;
	int64_t removed_ms;
	struct relay_health health;
	struct relay_warmup_tokens warmup;
	uint32_t load_milli;
	uint32_t pace_milli;
	struct relay_work_time work_time;
	int64_t life_ms;
	uint8_t set_flags;
};

bool relay_target_accepts_new_flows(const struct relay_target *entry,
				    int64_t now_ms);
uint32_t relay_target_cost_milli(const struct relay_target *entry,
				 int64_t now_ms);
uint32_t relay_target_own_cost_milli(const struct relay_target *entry,
				     int64_t now_ms);

uint32_t relay_target_paced_milli(const struct relay_target *entry,
				  uint32_t cost_milli);

#endif
