#ifndef CORE_RELAY_CHOICE_H
#define CORE_RELAY_CHOICE_H

#include <core/relay_directory.h>

#define RELAY_EXCLUDED_COUNT_MAX 3

/*
 * Another zone is 1 ms away and may become partitioned, so its targets are
 * chosen only if the share of their slots in use is lower by 60 percentage
 * points or more.
 */
#define RELAY_OTHER_ZONE_COST_MILLI 600

/*
 * Inputs of a choice besides the load of the targets. zone_id is this node's
 * zone; excluded_tags are the tags of the targets that the flow's opening
 * packet was sent to already. A barred target gets no new flow, even if there
 * is no other one. random returns a number from 0 to bound - 1.
 */
struct relay_choice_options {
	uint32_t zone_id;
	const uint32_t *excluded_tags;
	uint32_t excluded_tag_count;
	void *context;
	bool (*is_zone_avoided)(void *context, uint32_t zone_id);
	bool (*is_barred)(void *context, const struct relay_target *candidate);
	uint32_t (*random)(void *context, uint32_t bound);
};

struct relay_target *
relay_choice_pick(const GPtrArray *targets,
		  const struct relay_choice_options *options, int64_t now_ms);
uint32_t relay_choice_cost_milli(const struct relay_target *candidate,
				 uint32_t zone_id, int64_t now_ms);

#endif
