#ifndef CORE_TARGET_STATS_H
#define CORE_TARGET_STATS_H

#include <core/endpoint.h>
#include <core/outlier.h>
#include <core/slow_start.h>
#include <core/target_limit.h>

/*
 * The stats that this node keeps of one endpoint, over all the services that
 * use it: its request limit, outlier detection and slow start.
 */
struct target_stats {
	struct endpoint endpoint;
	uint32_t pool_index;
	bool is_listed;
	struct target_limit limit;
	struct outlier outlier;
	struct slow_start slow_start;
};

#endif
