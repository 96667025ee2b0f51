#include "request_service.h"

#define MICRO_PER_MS 1000
#define USUAL_FIRST_MS 50
#define USUAL_WEIGHT 32
#define RETRY_GAIN_MILLI 100
#define RETRY_LIMIT_MILLI 10000

/*
 * Makes a service without targets. A retry after an attempt that may have run
 * costs ten first attempts.
 */
struct request_service *request_service_new(const struct rule *rule)
{
	struct request_service *service = g_new0(struct request_service, 1);

	service->rule = rule;
	service->tracks = g_ptr_array_new();
	service->states = g_new0(enum target_state, rule->target_count);
	service->usual_micro = USUAL_FIRST_MS * MICRO_PER_MS;
	retry_budget_init(&service->retries, RETRY_GAIN_MILLI,
			  RETRY_LIMIT_MILLI);
	return service;
}

/* Frees the service; rule, pool and tracks belong to the director. */
void request_service_free(struct request_service *service)
{
	if (!service)
		return;
	g_ptr_array_free(service->tracks, TRUE);
	g_free(service->states);
	g_free(service);
}

/* Takes over what a service learned under former rules. */
void request_service_inherit(struct request_service *service,
			     const struct request_service *former)
{
	service->usual_micro = former->usual_micro;
	service->answer_count = former->answer_count;
	service->retries = former->retries;
}

/* Learns how long the service's requests usually take: first the mean. */
void request_service_learn(struct request_service *service, uint32_t latency_ms)
{
	uint64_t latency_micro = (uint64_t)latency_ms * MICRO_PER_MS;

	if (service->answer_count < USUAL_WEIGHT)
		service->answer_count++;
	service->usual_micro = (uint32_t)(((uint64_t)service->usual_micro *
						   (service->answer_count - 1) +
					   latency_micro) /
					  service->answer_count);
}

/* Returns how long the service's requests usually take, at least 1 ms. */
uint32_t request_service_usual_ms(const struct request_service *service)
{
	uint32_t usual_ms = service->usual_micro / MICRO_PER_MS;

	return usual_ms ? usual_ms : 1;
}

/* Tells whether one more of the service's targets may be ejected. */
bool request_service_may_eject(const struct request_service *service,
			       int64_t now_ms)
{
	uint32_t ejected_count = 0;

	for (guint i = 0; i < service->tracks->len; i++) {
		const struct target_track *track =
			g_ptr_array_index(service->tracks, i);

		if (outlier_is_ejected(&track->outlier, now_ms))
			ejected_count++;
	}
	return ejected_count < outlier_ejection_limit(service->tracks->len);
}
