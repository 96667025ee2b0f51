#ifndef CORE_RELAY_WALK_H
#define CORE_RELAY_WALK_H

#include <core/relay_choice.h>

struct relay_target *relay_walk_pick(const GPtrArray *pools,
				     const struct relay_choice_options *options,
				     int64_t now_ms);

#endif
