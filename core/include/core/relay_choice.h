#ifndef CORE_RELAY_CHOICE_H
#define CORE_RELAY_CHOICE_H

#include <core/relay_directory.h>

#define RELAY_EXCLUDED_COUNT_MAX 3

/*
 * Inputs of a choice besides the load of the targets: this node's zone, the
 * tags to exclude, the health of zones, and a random number generator.
 */
struct relay_choice_options {
	uint32_t zone_id;
	const uint32_t *excluded;
	uint32_t excluded_count;
	void *context;
	bool (*is_zone_avoided)(void *context, uint32_t zone_id);
	uint32_t (*random)(void *context, uint32_t bound);
};

struct relay_target *
relay_choice_pick(const GPtrArray *targets,
		  const struct relay_choice_options *options, int64_t now_ms);

#endif
