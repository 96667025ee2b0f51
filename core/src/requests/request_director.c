#include "request_director_state.h"

#include <core/target_choice.h>

#define CLAIM_TIMEOUT_MS 1000
#define REFUSAL_CLAIM_TIMEOUT_MS 8
/* Well below a claim's lifetime, so that the claim outlives the request. */
#define KEYED_DEADLINE_MAX_MS 300000
#define RETRY_AFTER_BASE_MS 1000
#define MILLI_PER_REQUEST 1000

/*
 * Creates a director without rules, which refuses every request. Callbacks must
 * not call the director; they may post messages instead. Free it with
 * request_director_free.
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

/* Frees the director without refusing open requests; NULL is allowed. */
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

static bool needs_claim(const struct request_info *info)
{
	return info->has_idempotency_key && !info->is_repeatable;
}

/*
 * Releases the claim when the request did not run. Otherwise settles it, so
 * that the key stays claimed.
 */
void request_director_close_claim(struct request_director *director,
				  const struct open_request *request,
				  bool did_not_run)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;

	if (!needs_claim(&request->info))
		return;
	if (did_not_run)
		callbacks->release(callbacks->context, &request->info);
	else if (request->has_claim)
		callbacks->settle(callbacks->context, &request->info);
}

static void log_refusal(struct request_director *director,
			const struct open_request *request, enum reason reason)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;
	struct placement placement = {
		.kind = PLACE_DROP,
		.reason = reason,
		.service_id = request->info.service_id,
	};

	callbacks->log(callbacks->context, request->info.request_id,
		       request->attempt_id, &placement);
}

/*
 * Refuses a request and drops it. A request whose idempotency key was not
 * claimed may have run before, or through another node, so it is refused as
 * "unknown" rather than "not run".
 */
void request_director_refuse(struct request_director *director,
			     struct open_request *request, enum reason reason)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;
	bool is_unknown = request->may_have_run ||
			  (needs_claim(&request->info) && !request->has_claim);
	struct refusal refusal = {
		.kind = is_unknown ? REFUSAL_UNKNOWN : REFUSAL_NOT_RUN,
		.reason = reason,
		.retry_after_ms =
			RETRY_AFTER_BASE_MS +
			(uint32_t)g_rand_int_range(director->rand, 0,
						   RETRY_AFTER_BASE_MS),
	};
	uint64_t request_id = request->info.request_id;

	log_refusal(director, request, reason);
	request_director_close_claim(director, request, !request->may_have_run);
	g_hash_table_remove(director->requests, &request_id);
	callbacks->refuse(callbacks->context, request_id, &refusal);
}

/*
 * Returns the queue length at which a request waits for the longest time that
 * it may, by Little's law, but at least the length that its class is always
 * allowed.
 */
static uint32_t max_queue_length(const struct request_service *service,
				 const struct open_request *request,
				 int64_t now_ms)
{
	struct admission_limits limits =
		request_pool_limits(service->pool, now_ms);
	uint32_t available_milli =
		admission_available_milli(&service->pool->admission,
					  request->work_class, &limits, now_ms);
	int64_t max_wait_ms = MIN(request_pool_max_wait_ms(request->work_class),
				  (request->info.deadline_ms - now_ms) / 2);
	int64_t max_length = max_wait_ms * available_milli / MILLI_PER_REQUEST /
			     request_service_mean_latency_ms(service);

	return (uint32_t)MAX(
		max_length, request_pool_min_queue_length(request->work_class));
}

/* Returns why a request must be refused now, or REASON_NONE to accept it. */
static enum reason refusal_reason(struct request_director *director,
				  struct open_request *request,
				  struct request_service *service,
				  int64_t now_ms)
{
	struct class_queue *queue;
	uint32_t max_length;
	uint32_t claiming_count;

	if (!service)
		return REASON_NO_SERVICE;
	if (director->is_draining)
		return REASON_DRAINING;
	if (now_ms >= request->info.deadline_ms)
		return REASON_DEADLINE;
	queue = service->pool->queues[request->work_class];
	claiming_count = service->pool->claiming_count[request->work_class];
	max_length = max_queue_length(service, request, now_ms);
	max_length -= MIN(max_length, claiming_count);
	if (class_queue_has_room(queue, request->info.caller_hash, max_length,
				 now_ms))
		return REASON_NONE;
	return class_queue_length(queue) < max_length ? REASON_CALLER_SHARE
						      : REASON_QUEUE_FULL;
}

/* Queues an accepted request and starts it if possible. */
static void enqueue(struct request_director *director,
		    struct open_request *request,
		    struct request_service *service, int64_t now_ms)
{
	request->state = REQUEST_WAITING;
	request->waiting_since_ms = now_ms;
	class_queue_push(service->pool->queues[request->work_class],
			 request->info.caller_hash, request->info.request_id,
			 now_ms);
	deadline_heap_push(director->request_deadlines,
			   request->info.deadline_ms, request->info.request_id);
	request_director_dispatch(director, service->pool, NULL, now_ms);
}

/*
 * Asks the holders for a claim on the request's key and reserves a queue entry
 * until they reply. A request that must be refused is claimed too, with a short
 * timeout, because only with the claim can the refusal say "not run".
 */
static void request_claim(struct request_director *director,
			  struct open_request *request,
			  struct request_service *service, enum reason reason,
			  int64_t now_ms)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;
	uint32_t timeout_ms = reason == REASON_NONE ? CLAIM_TIMEOUT_MS
						    : REFUSAL_CLAIM_TIMEOUT_MS;

	request->state = REQUEST_CLAIMING;
	request->refusal_reason = reason;
	if (reason == REASON_NONE)
		service->pool->claiming_count[request->work_class]++;
	deadline_heap_push(director->request_deadlines,
			   MIN(MAX(request->info.deadline_ms, now_ms),
			       now_ms + timeout_ms),
			   request->info.request_id);
	callbacks->claim(callbacks->context, &request->info);
}

static struct open_request *add_request(struct request_director *director,
					const struct request_info *info,
					int64_t now_ms)
{
	struct open_request *request = g_new0(struct open_request, 1);

	request->info = *info;
	if (needs_claim(info))
		request->info.deadline_ms =
			MIN(info->deadline_ms, now_ms + KEYED_DEADLINE_MAX_MS);
	request->sequence = director->next_sequence++;
	g_hash_table_insert(director->requests, &request->info.request_id,
			    request);
	return request;
}

/*
 * Handles a new request from a caller: starts, queues, claims or refuses it. A
 * request whose id is already open is ignored.
 */
void request_director_submit(struct request_director *director,
			     const struct request_info *info, int64_t now_ms)
{
	struct request_service *service =
		request_catalog_service(director->catalog, info->service_id);
	struct open_request *request;
	enum reason reason;

	if (g_hash_table_contains(director->requests, &info->request_id))
		return;
	request = add_request(director, info, now_ms);
	if (service)
		request->work_class = service->rule->service.work_class;
	if (g_hash_table_size(director->requests) >
	    director->options.request_limit) {
		request_director_refuse(director, request, REASON_NODE_LIMIT);
		return;
	}
	reason = refusal_reason(director, request, service, now_ms);
	if (needs_claim(info))
		request_claim(director, request, service, reason, now_ms);
	else if (reason == REASON_NONE)
		enqueue(director, request, service, now_ms);
	else
		request_director_refuse(director, request, reason);
}

/* Frees the queue entry that was reserved while a request claimed its key. */
void request_director_end_claiming(struct request_director *director,
				   const struct open_request *request)
{
	struct request_service *service = request_catalog_service(
		director->catalog, request->info.service_id);

	if (service && request->refusal_reason == REASON_NONE)
		service->pool->claiming_count[request->work_class]--;
}

static enum reason claim_refusal_reason(enum claim_result result,
					enum reason refusal_reason)
{
	switch (result) {
	case CLAIM_GRANTED:
		return refusal_reason;
	case CLAIM_TAKEN:
		return REASON_KEY_CLAIMED;
	case CLAIM_UNKNOWN:
		break;
	}
	return REASON_KEY_UNKNOWN;
}

/*
 * Handles the result of the claim on a request's idempotency key. The request
 * runs only if the claim is granted. A result after the claim's timeout is
 * ignored.
 */
void request_director_handle_claim_result(struct request_director *director,
					  uint64_t request_id,
					  enum claim_result result,
					  int64_t now_ms)
{
	struct open_request *request =
		g_hash_table_lookup(director->requests, &request_id);
	struct request_service *service;
	enum reason reason;

	if (!request || request->state != REQUEST_CLAIMING)
		return;
	request_director_end_claiming(director, request);
	service = request_catalog_service(director->catalog,
					  request->info.service_id);
	request->has_claim = result == CLAIM_GRANTED;
	reason = claim_refusal_reason(result, request->refusal_reason);
	if (reason == REASON_NONE && !service)
		reason = REASON_NO_SERVICE;
	if (reason == REASON_NONE && now_ms >= request->info.deadline_ms)
		reason = REASON_DEADLINE;
	if (reason == REASON_NONE)
		enqueue(director, request, service, now_ms);
	else
		request_director_refuse(director, request, reason);
}
