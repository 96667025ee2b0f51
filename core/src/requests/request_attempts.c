/* Records responses and ends of attempts; completes or retries requests. */
#include "request_director_state.h"

#define ATTEMPTS_MAX 16
#define ABANDONED_SLOT_MAX_MS 5000
#define RETRY_MARGIN_MS 2

/*
 * How to treat each attempt outcome: whether the request may have run, whether
 * it counts as a failure of the target, and the reason for refusing or failing
 * a request that is not retried.
 */
struct outcome_rule {
	bool may_have_run;
	bool is_failure;
	enum reason reason;
};

static const struct outcome_rule outcome_rules[ATTEMPT_OUTCOME_COUNT] = {
	[ATTEMPT_COMPLETE] = {true, false, REASON_ADMITTED},
	[ATTEMPT_NOT_SENT] = {false, true, REASON_TARGET_RESET},
	[ATTEMPT_SHED] = {false, false, REASON_TARGET_SHED},
	[ATTEMPT_RESET] = {true, true, REASON_TARGET_RESET},
	[ATTEMPT_TRUNCATED] = {true, true, REASON_TARGET_RESET},
	[ATTEMPT_TIMEOUT] = {true, true, REASON_TARGET_TIMEOUT},
	[ATTEMPT_MALFORMED] = {true, true, REASON_TARGET_MALFORMED},
};

static void remove_request(struct request_director *director,
			   struct open_request *request)
{
	uint64_t request_id = request->info.request_id;

	g_hash_table_remove(director->requests, &request_id);
}

/* Frees an attempt's slot at its target and starts waiting requests. */
void request_director_end_attempt(struct request_director *director,
				  struct request_attempt *attempt,
				  int64_t now_ms)
{
	struct target_stats *stats = attempt->stats;
	struct request_pool *pool = attempt->pool;
	uint64_t attempt_id = attempt->attempt_id;

	stats->limit.in_flight--;
	if (pool)
		admission_add_in_flight(&pool->admission, attempt->work_class,
					-1, now_ms);
	g_hash_table_remove(director->attempts, &attempt_id);
	if (pool)
		request_director_dispatch(director, pool, stats, now_ms);
}

/*
 * Cancels an attempt. Its slot stays occupied for the service's mean latency,
 * at most ABANDONED_SLOT_MAX_MS, because the target may ignore the
 * cancellation.
 */
void request_director_abandon(struct request_director *director,
			      struct request_attempt *attempt, int64_t now_ms)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;
	const struct request_service *service =
		request_catalog_service(director->catalog, attempt->service_id);
	uint32_t mean_latency_ms =
		service ? request_service_mean_latency_ms(service) : 0;

	attempt->is_abandoned = true;
	attempt->due_ms = now_ms + MIN(mean_latency_ms, ABANDONED_SLOT_MAX_MS);
	deadline_heap_push(director->attempt_deadlines, attempt->due_ms,
			   attempt->attempt_id);
	callbacks->cancel(callbacks->context, attempt->attempt_id);
}

/* Updates the statistics when a response's headers arrive. */
static void record_response(struct request_director *director,
			    struct request_attempt *attempt, int64_t now_ms)
{
	struct request_service *service =
		request_catalog_service(director->catalog, attempt->service_id);
	uint32_t latency_ms = (uint32_t)(now_ms - attempt->started_ms);

	attempt->has_headers = true;
	outlier_record_success(&attempt->stats->outlier, now_ms);
	if (!service)
		return;
	target_limit_record_response(&attempt->stats->limit, latency_ms,
				     request_service_mean_latency_ms(service),
				     now_ms);
	slow_start_record_response(&attempt->stats->slow_start, latency_ms,
				   request_service_mean_latency_ms(service));
	request_service_add_latency(service, latency_ms);
}

static void record_failure(struct request_director *director,
			   struct request_attempt *attempt, int64_t now_ms)
{
	struct request_service *service =
		request_catalog_service(director->catalog, attempt->service_id);

	if (outlier_record_failure(&attempt->stats->outlier) && service &&
	    request_service_may_eject(service, now_ms))
		outlier_eject(&attempt->stats->outlier, now_ms);
}

/* Updates the target's statistics with the outcome of an attempt. */
void request_director_record_outcome(struct request_director *director,
				     struct request_attempt *attempt,
				     enum attempt_outcome outcome,
				     int64_t now_ms)
{
	struct request_service *service =
		request_catalog_service(director->catalog, attempt->service_id);

	if (outcome == ATTEMPT_COMPLETE && !attempt->has_headers)
		record_response(director, attempt, now_ms);
	if (!outcome_rules[outcome].may_have_run)
		target_limit_record_busy(
			&attempt->stats->limit,
			service ? request_service_mean_latency_ms(service) : 0,
			now_ms);
	if (outcome_rules[outcome].is_failure)
		record_failure(director, attempt, now_ms);
}

/*
 * Returns whether a request whose attempt failed may be retried. A request that
 * did not run needs no retry budget, because the target's busy time and the
 * concurrency limits slow such retries down.
 */
static bool may_retry(struct request_director *director,
		      const struct open_request *request,
		      const struct outcome_rule *rule, int64_t now_ms)
{
	struct request_service *service = request_catalog_service(
		director->catalog, request->info.service_id);

	if (!service || request->attempt_count >= ATTEMPTS_MAX ||
	    now_ms + RETRY_MARGIN_MS >= request->info.deadline_ms)
		return false;
	if (!rule->may_have_run)
		return true;
	return request->info.is_repeatable &&
	       retry_budget_spend(&service->retry_budget);
}

static void retry(struct request_director *director,
		  struct open_request *request)
{
	struct request_service *service = request_catalog_service(
		director->catalog, request->info.service_id);

	request->state = REQUEST_WAITING;
	class_queue_push_front(service->pool->queues[request->work_class],
			       request->info.caller_hash,
			       request->info.request_id,
			       request->waiting_since_ms);
}

/* Completes, retries or refuses a request whose attempt has ended. */
void request_director_resolve(struct request_director *director,
			      struct open_request *request,
			      enum attempt_outcome outcome, int64_t now_ms)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;
	const struct outcome_rule *rule = &outcome_rules[outcome];
	uint64_t request_id = request->info.request_id;
	bool is_responding = request->state == REQUEST_RESPONDING;

	request->may_have_run = request->may_have_run || rule->may_have_run;
	if (outcome == ATTEMPT_COMPLETE || is_responding) {
		request_director_close_claim(director, request, false);
		remove_request(director, request);
		if (outcome != ATTEMPT_COMPLETE)
			callbacks->fail(callbacks->context, request_id,
					rule->reason);
		return;
	}
	if (may_retry(director, request, rule, now_ms))
		retry(director, request);
	else
		request_director_refuse(director, request, rule->reason);
}

/*
 * Records that the headers of an attempt's response have arrived. The frontend
 * forwards the response to the caller from now on, so there are no retries, and
 * a failure closes the caller's connection.
 */
void request_director_record_headers(struct request_director *director,
				     uint64_t attempt_id, int64_t now_ms)
{
	struct request_attempt *attempt =
		g_hash_table_lookup(director->attempts, &attempt_id);
	struct open_request *request;

	if (!attempt || attempt->is_abandoned || attempt->has_headers)
		return;
	request = g_hash_table_lookup(director->requests, &attempt->request_id);
	request->state = REQUEST_RESPONDING;
	request->may_have_run = true;
	record_response(director, attempt, now_ms);
}

/*
 * Records how an attempt ended. The end of an abandoned attempt only frees its
 * slot; an unknown id is ignored.
 */
void request_director_record_end(struct request_director *director,
				 uint64_t attempt_id,
				 enum attempt_outcome outcome, int64_t now_ms)
{
	struct request_attempt *attempt =
		g_hash_table_lookup(director->attempts, &attempt_id);
	struct open_request *request;

	if (!attempt)
		return;
	if (!attempt->is_abandoned) {
		request = g_hash_table_lookup(director->requests,
					      &attempt->request_id);
		request_director_record_outcome(director, attempt, outcome,
						now_ms);
		request_director_resolve(director, request, outcome, now_ms);
	}
	request_director_end_attempt(director, attempt, now_ms);
}
