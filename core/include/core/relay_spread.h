#ifndef CORE_RELAY_SPREAD_H
#define CORE_RELAY_SPREAD_H

#include <core/relay_directory.h>

/*
 * How evenly the known open flows are spread over the targets of one zone.
 * busiest_milli is the ratio of the busiest target's share of its slots in use
 * to that of all targets of its service together, in thousandths, the highest
 * of all services; 0 without open flows. loaded_count is the number of
 * targets whose average load is at least 1.5 times the mean, slow_count that of
 * those whose relay_target.pace_milli says so of their time for a request.
 * work_us is the mean time of the requests that were timed, 0 for none.
 */
struct relay_spread {
	uint32_t busiest_milli;
	uint32_t loaded_count;
	uint32_t slow_count;
	uint64_t work_us;
};

struct relay_spread relay_spread_measure(struct relay_directory *directory,
					 uint32_t zone_id, int64_t now_ms);

#endif
