#include "request_service.h"

#define US_PER_MS 1000
#define INITIAL_LATENCY_MS 50
#define LATENCY_WINDOW_RESPONSES 32
/* Ten first attempts earn one retry of an attempt that may have run. */
#define RETRY_BUDGET_GAIN_MILLI 100
#define RETRY_BUDGET_LIMIT_MILLI 10000

/* Creates a service without targets. Free it with request_service_free. */
struct request_service *request_service_new(const struct rule *rule)
{
	struct request_service *service = g_new0(struct request_service, 1);

	service->rule = rule;
	service->stats_by_target = g_ptr_array_new();
	service->states = g_new0(enum target_state, rule->target_count);
	service->mean_latency_us = INITIAL_LATENCY_MS * US_PER_MS;
	retry_budget_init(&service->retry_budget, RETRY_BUDGET_GAIN_MILLI,
			  RETRY_BUDGET_LIMIT_MILLI);
	return service;
}

/* Frees the service; the catalog owns its rule, pool and target statistics. */
void request_service_free(struct request_service *service)
{
	if (!service)
		return;
	g_ptr_array_free(service->stats_by_target, TRUE);
	g_free(service->states);
	g_free(service);
}

/* Copies latency and retry budget from the service under the previous rules. */
void request_service_inherit(struct request_service *service,
			     const struct request_service *previous)
{
	service->mean_latency_us = previous->mean_latency_us;
	service->response_count = previous->response_count;
	service->retry_budget = previous->retry_budget;
}

/* Updates the mean latency: a plain mean at first, then a moving average. */
void request_service_add_latency(struct request_service *service,
				 uint32_t latency_ms)
{
	uint64_t latency_us = (uint64_t)latency_ms * US_PER_MS;

	if (service->response_count < LATENCY_WINDOW_RESPONSES)
		service->response_count++;
	service->mean_latency_us =
		(uint32_t)(((uint64_t)service->mean_latency_us *
				    (service->response_count - 1) +
			    latency_us) /
			   service->response_count);
}

/* Returns the mean latency of the service's requests, at least 1 ms. */
uint32_t request_service_mean_latency_ms(const struct request_service *service)
{
	uint32_t mean_latency_ms = service->mean_latency_us / US_PER_MS;

	return mean_latency_ms ? mean_latency_ms : 1;
}

/* Returns whether one more target of the service may be ejected. */
bool request_service_may_eject(const struct request_service *service,
			       int64_t now_ms)
{
	uint32_t ejected_count = 0;

	for (guint i = 0; i < service->stats_by_target->len; i++) {
		const struct target_stats *stats =
			g_ptr_array_index(service->stats_by_target, i);

		if (outlier_is_ejected(&stats->outlier, now_ms))
			ejected_count++;
	}
	return ejected_count <
	       outlier_ejection_limit(service->stats_by_target->len);
}
