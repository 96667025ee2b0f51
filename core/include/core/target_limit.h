#ifndef CORE_TARGET_LIMIT_H
#define CORE_TARGET_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limit on the requests that this node has in flight at one target. The nodes
 * share the target's slots without coordination, so the limit is the even
 * share, which may be below one, times share_factor_milli, which is adapted to
 * the target's latency and busy responses. latency_ratio_milli is the moving
 * average of its latency relative to the mean latency of the service.
 */
struct target_limit {
	uint32_t slot_count;
	uint32_t node_count;
	uint32_t share_factor_milli;
	uint32_t latency_ratio_milli;
	uint32_t in_flight;
	int64_t busy_until_ms;
	int64_t decreased_ms;
	int64_t last_response_ms;
};

void target_limit_init(struct target_limit *limit, uint32_t slot_count,
		       uint32_t node_count);
uint32_t target_limit_share_milli(const struct target_limit *limit);
uint32_t target_limit_milli(const struct target_limit *limit);
uint32_t target_limit_weight_milli(const struct target_limit *limit);
uint32_t target_limit_in_flight_max(const struct target_limit *limit);
void target_limit_record_response(struct target_limit *limit,
				  uint32_t latency_ms, uint32_t mean_latency_ms,
				  int64_t now_ms);
void target_limit_record_busy(struct target_limit *limit,
			      uint32_t mean_latency_ms, int64_t now_ms);
bool target_limit_is_busy(const struct target_limit *limit, int64_t now_ms);

#endif
