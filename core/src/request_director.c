#include "request_state.h"

#include <core/target_choice.h>

#define CLAIM_TIMEOUT_MS 1000
#define RETRY_AFTER_BASE_MS 1000
#define MICRO_PER_MILLI 1000
#define QUEUE_LEAST 4

/* How long a class may be expected to wait for its turn. */
static const uint32_t wait_budget_ms[CLASS_COUNT] = {
	[CLASS_URGENT] = 250,
	[CLASS_NORMAL] = 500,
	[CLASS_BULK] = 2000,
};

/*
 * Makes a director with no rules, which refuses everything. Effects must not
 * call back into the director; they may post what they have to say. The
 * caller frees it with request_director_free.
 */
struct request_director *
request_director_new(const struct request_director_options *options)
{
	struct request_director *director = g_new0(struct request_director, 1);
	struct request_catalog_options catalog_options = {
		.queue_limit = options->queue_limit,
		.node_count = options->node_count,
	};

	director->options = *options;
	director->catalog = request_catalog_new(&catalog_options);
	director->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	director->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	director->request_deadlines = deadline_heap_new();
	director->attempt_deadlines = deadline_heap_new();
	director->candidates =
		g_array_new(FALSE, FALSE, sizeof(struct target_candidate));
	director->rand = g_rand_new_with_seed((guint32)options->seed);
	return director;
}

/* Frees the director without a word to callers; NULL is allowed. */
void request_director_free(struct request_director *director)
{
	if (!director)
		return;
	g_hash_table_destroy(director->requests);
	g_hash_table_destroy(director->attempts);
	deadline_heap_free(director->request_deadlines);
	deadline_heap_free(director->attempt_deadlines);
	g_array_free(director->candidates, TRUE);
	g_rand_free(director->rand);
	request_catalog_free(director->catalog);
	g_free(director);
}

static bool needs_claim(const struct request_event *event)
{
	return event->has_idempotency_key && !event->is_repeatable;
}

/* Gives the claim back when the request did not run; else it stays for good. */
void request_director_close_claim(struct request_director *director,
				  const struct open_request *request,
				  bool did_not_run)
{
	const struct request_effects *effects = &director->options.effects;

	if (!needs_claim(&request->event))
		return;
	if (did_not_run)
		effects->release(effects->context, &request->event);
	else if (request->has_claim)
		effects->settle(effects->context, &request->event);
}

static void log_refusal(struct request_director *director,
			const struct open_request *request, enum reason reason)
{
	const struct request_effects *effects = &director->options.effects;
	struct placement placement = {
		.kind = PLACE_DROP,
		.reason = reason,
		.service_id = request->event.service_id,
	};

	effects->log(effects->context, request->event.request_id,
		     request->attempt_id, &placement);
}

/*
 * Answers the caller with a refusal and forgets the request. A request with
 * an idempotency key that was never claimed may have run earlier or through
 * another node, so nothing better than "unknown" can be said of it.
 */
void request_director_refuse(struct request_director *director,
			     struct open_request *request, enum reason reason)
{
	const struct request_effects *effects = &director->options.effects;
	bool is_unknown = request->may_have_run ||
			  (needs_claim(&request->event) && !request->has_claim);
	struct refusal refusal = {
		.kind = is_unknown ? REFUSAL_UNKNOWN : REFUSAL_NOT_RUN,
		.reason = reason,
		.retry_after_ms =
			RETRY_AFTER_BASE_MS +
			(uint32_t)g_rand_int_range(director->rand, 0,
						   RETRY_AFTER_BASE_MS),
	};
	uint64_t request_id = request->event.request_id;

	log_refusal(director, request, reason);
	request_director_close_claim(director, request, !request->may_have_run);
	g_hash_table_remove(director->requests, &request_id);
	effects->refuse(effects->context, request_id, &refusal);
}

/* By Little's law: places in a queue that is to keep its waiting time. */
static uint32_t queue_bound(const struct request_service *service,
			    const struct open_request *request, int64_t now_ms)
{
	struct admission_limits limits =
		request_pool_limits(service->pool, now_ms);
	uint32_t part =
		admission_part_milli(&service->pool->admission,
				     request->work_class, &limits, now_ms);
	int64_t wait_ms = MIN(wait_budget_ms[request->work_class],
			      (request->event.deadline_ms - now_ms) / 2);
	int64_t bound = wait_ms * part / MICRO_PER_MILLI /
			request_service_usual_ms(service);

	return (uint32_t)MAX(bound, QUEUE_LEAST);
}

/* Queues a request that may run, or refuses it at once. */
static void enter(struct request_director *director,
		  struct open_request *request, int64_t now_ms)
{
	struct request_service *service = request_catalog_service(
		director->catalog, request->event.service_id);
	struct class_queue *queue;
	uint32_t bound;

	if (!service) {
		request_director_refuse(director, request, REASON_NO_SERVICE);
		return;
	}
	if (director->is_draining) {
		request_director_refuse(director, request, REASON_DRAINING);
		return;
	}
	if (now_ms >= request->event.deadline_ms) {
		request_director_refuse(director, request, REASON_DEADLINE);
		return;
	}
	request->work_class = service->rule->service.work_class;
	queue = service->pool->queues[request->work_class];
	bound = queue_bound(service, request, now_ms);
	if (!class_queue_has_room(queue, request->event.caller_hash, bound,
				  now_ms)) {
		request_director_refuse(director, request,
					class_queue_length(queue) < bound
						? REASON_CALLER_SHARE
						: REASON_QUEUE_FULL);
		return;
	}
	request->state = REQUEST_WAITING;
	class_queue_push(queue, request->event.caller_hash,
			 request->event.request_id);
	deadline_heap_push(director->request_deadlines,
			   request->event.deadline_ms,
			   request->event.request_id);
	request_director_pump(director, service->pool, NULL, now_ms);
}

/*
 * Takes a request that a caller sent. It is started, queued, claimed or
 * refused; the effects say which. An id that is open already is ignored.
 */
void request_director_arrive(struct request_director *director,
			     const struct request_event *event, int64_t now_ms)
{
	const struct request_effects *effects = &director->options.effects;
	struct open_request *request;

	if (g_hash_table_contains(director->requests, &event->request_id))
		return;
	request = g_new0(struct open_request, 1);
	request->event = *event;
	request->sequence = director->next_sequence++;
	g_hash_table_insert(director->requests, &request->event.request_id,
			    request);
	if (g_hash_table_size(director->requests) >
	    director->options.request_limit) {
		request_director_refuse(director, request, REASON_NODE_LIMIT);
		return;
	}
	if (!needs_claim(event)) {
		enter(director, request, now_ms);
		return;
	}
	request->state = REQUEST_CLAIMING;
	deadline_heap_push(director->request_deadlines,
			   MIN(event->deadline_ms, now_ms + CLAIM_TIMEOUT_MS),
			   event->request_id);
	effects->claim(effects->context, event);
}

/*
 * Takes the holders' answer for a request's idempotency key. Only a granted
 * claim lets the request run; late answers are ignored.
 */
void request_director_claimed(struct request_director *director,
			      uint64_t request_id, enum claim_result result,
			      int64_t now_ms)
{
	struct open_request *request =
		g_hash_table_lookup(director->requests, &request_id);

	if (!request || request->state != REQUEST_CLAIMING)
		return;
	if (result == CLAIM_GRANTED) {
		request->has_claim = true;
		enter(director, request, now_ms);
		return;
	}
	request_director_refuse(director, request,
				result == CLAIM_TAKEN ? REASON_KEY_CLAIMED
						      : REASON_KEY_UNKNOWN);
}
