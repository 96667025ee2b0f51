#ifndef CORE_TARGET_TRACK_H
#define CORE_TARGET_TRACK_H

#include <core/endpoint.h>
#include <core/outlier.h>
#include <core/slow_start.h>
#include <core/target_limit.h>

/* What this node learned of one target's address, whatever the services. */
struct target_track {
	struct endpoint endpoint;
	uint32_t pool_index;
	bool is_listed;
	struct target_limit limit;
	struct outlier outlier;
	struct slow_start slow_start;
};

#endif
