#ifndef CORE_REQUEST_SERVICE_H
#define CORE_REQUEST_SERVICE_H

#include "request_pool.h"
#include "targets/target_stats.h"
#include <core/retry_budget.h>
#include <core/rule.h>
#include <glib.h>

/*
 * A service of the current rules: its rule, targets, latency and retry budget.
 * The indexes of stats_by_target and states are those of the rule's targets.
 */
struct request_service {
	const struct rule *rule;
	struct request_pool *pool;
	uint32_t pool_index;
	GPtrArray *stats_by_target;
	enum target_state *states;
	uint32_t mean_latency_us;
	uint32_t response_count;
	struct retry_budget retry_budget;
};

struct request_service *request_service_new(const struct rule *rule);
void request_service_free(struct request_service *service);
void request_service_inherit(struct request_service *service,
			     const struct request_service *previous);
void request_service_add_latency(struct request_service *service,
				 uint32_t latency_ms);
uint32_t request_service_mean_latency_ms(const struct request_service *service);
bool request_service_may_eject(const struct request_service *service,
			       int64_t now_ms);

#endif
