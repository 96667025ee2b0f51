/* Handles changes of rules, nodes and targets, disconnects, and timeouts. */
#include "request_director_state.h"

static void dispatch_all_pools(struct request_director *director,
			       int64_t now_ms)
{
	uint32_t count = request_catalog_pool_count(director->catalog);

	for (uint32_t i = 0; i < count; i++)
		request_director_dispatch(
			director, request_catalog_pool_at(director->catalog, i),
			NULL, now_ms);
}

/* Adds the attempts in flight to the usage of the pools of the new rules. */
static void move_attempts(struct request_director *director, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct request_attempt *attempt = value;
		struct request_service *service = request_catalog_service(
			director->catalog, attempt->service_id);

		attempt->pool = service ? service->pool : NULL;
		if (attempt->pool)
			admission_add_in_flight(&attempt->pool->admission,
						attempt->work_class, 1, now_ms);
	}
}

static gint compare_sequence(gconstpointer a, gconstpointer b)
{
	const struct open_request *left = *(struct open_request *const *)a;
	const struct open_request *right = *(struct open_request *const *)b;

	return left->sequence < right->sequence ? -1 : 1;
}

static GPtrArray *sorted_waiting(const struct request_director *director)
{
	GPtrArray *waiting = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct open_request *request = value;

		if (request->state == REQUEST_WAITING)
			g_ptr_array_add(waiting, value);
	}
	g_ptr_array_sort(waiting, compare_sequence);
	return waiting;
}

static void move_waiting(struct request_director *director)
{
	GPtrArray *waiting = sorted_waiting(director);

	for (guint i = 0; i < waiting->len; i++) {
		struct open_request *request = g_ptr_array_index(waiting, i);
		struct request_service *service = request_catalog_service(
			director->catalog, request->info.service_id);

		if (!service) {
			request_director_refuse(director, request,
						REASON_NO_SERVICE);
			continue;
		}
		request->work_class = service->rule->service.work_class;
		class_queue_push(service->pool->queues[request->work_class],
				 request->info.caller_hash,
				 request->info.request_id,
				 request->waiting_since_ms);
	}
	g_ptr_array_free(waiting, TRUE);
}

/* Reserves queue entries in the new pools for requests that claim a key. */
static void move_claiming(struct request_director *director)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct open_request *request = value;
		struct request_service *service = request_catalog_service(
			director->catalog, request->info.service_id);

		if (request->state != REQUEST_CLAIMING ||
		    request->refusal_reason != REASON_NONE)
			continue;
		if (!service) {
			request->refusal_reason = REASON_NO_SERVICE;
			continue;
		}
		request->work_class = service->rule->service.work_class;
		service->pool->claiming_count[request->work_class]++;
	}
}

/*
 * Applies new rules. Requests in progress continue; waiting requests move to
 * the queues of the new rules, or are refused when their service is removed.
 */
void request_director_set_rules(struct request_director *director,
				const struct rule_set *rules, int64_t now_ms)
{
	request_catalog_set_rules(director->catalog, rules, now_ms);
	move_attempts(director, now_ms);
	move_claiming(director);
	move_waiting(director);
	dispatch_all_pools(director, now_ms);
}

/* Sets how many live nodes share the targets; 0 counts as 1. */
void request_director_set_node_count(struct request_director *director,
				     uint32_t node_count)
{
	request_catalog_set_node_count(director->catalog, node_count);
}

/*
 * Records a target's state as reported by the store or a probe. A leaving or
 * cut-off target gets no new requests; a report of failure is ignored while the
 * target responds to this node's requests.
 */
void request_director_set_target_state(struct request_director *director,
				       uint64_t target_id,
				       enum target_state state, int64_t now_ms)
{
	request_catalog_set_state(director->catalog, target_id, state, now_ms);
	dispatch_all_pools(director, now_ms);
}

static void cancel_attempt(struct request_director *director,
			   const struct open_request *request, int64_t now_ms)
{
	struct request_attempt *attempt =
		g_hash_table_lookup(director->attempts, &request->attempt_id);

	request_director_abandon(director, attempt, now_ms);
}

static void remove_from_queue(struct request_director *director,
			      const struct open_request *request)
{
	struct request_service *service = request_catalog_service(
		director->catalog, request->info.service_id);

	class_queue_remove(service->pool->queues[request->work_class],
			   request->info.caller_hash, request->info.request_id);
}

/*
 * Drops a request whose caller has disconnected. An attempt in flight is
 * cancelled; the claim of a request that may have run is kept.
 */
void request_director_handle_disconnect(struct request_director *director,
					uint64_t request_id, int64_t now_ms)
{
	struct open_request *request =
		g_hash_table_lookup(director->requests, &request_id);

	if (!request)
		return;
	if (request->state == REQUEST_CLAIMING)
		request_director_end_claiming(director, request);
	if (request->state == REQUEST_WAITING)
		remove_from_queue(director, request);
	if (request->state >= REQUEST_RUNNING) {
		request->may_have_run = true;
		cancel_attempt(director, request, now_ms);
	}
	request_director_close_claim(director, request, !request->may_have_run);
	g_hash_table_remove(director->requests, &request_id);
}

/* Refuses new requests from now on; requests accepted before continue. */
void request_director_drain(struct request_director *director, int64_t now_ms)
{
	director->is_draining = true;
}

/* Returns the number of requests whose callers still wait for a response. */
uint32_t request_director_open_count(const struct request_director *director)
{
	return g_hash_table_size(director->requests);
}

static void time_out_attempt(struct request_director *director,
			     struct request_attempt *attempt, int64_t now_ms)
{
	struct open_request *request =
		g_hash_table_lookup(director->requests, &attempt->request_id);
	struct request_pool *pool = attempt->pool;

	request_director_record_outcome(director, attempt, ATTEMPT_TIMEOUT,
					now_ms);
	request_director_abandon(director, attempt, now_ms);
	request_director_resolve(director, request, ATTEMPT_TIMEOUT, now_ms);
	if (pool)
		request_director_dispatch(director, pool, NULL, now_ms);
}

static void handle_attempt_deadline(struct request_director *director,
				    uint64_t attempt_id, int64_t now_ms)
{
	struct request_attempt *attempt =
		g_hash_table_lookup(director->attempts, &attempt_id);

	if (!attempt || attempt->due_ms > now_ms)
		return;
	if (attempt->is_abandoned)
		request_director_end_attempt(director, attempt, now_ms);
	else if (!attempt->has_headers)
		time_out_attempt(director, attempt, now_ms);
}

static void handle_request_deadline(struct request_director *director,
				    uint64_t request_id, int64_t now_ms)
{
	struct open_request *request =
		g_hash_table_lookup(director->requests, &request_id);

	if (!request)
		return;
	if (request->state == REQUEST_CLAIMING) {
		request_director_end_claiming(director, request);
		request_director_refuse(director, request, REASON_KEY_UNKNOWN);
	} else if (request->state == REQUEST_WAITING &&
		   request->info.deadline_ms <= now_ms) {
		remove_from_queue(director, request);
		request_director_refuse(director, request, REASON_DEADLINE);
	}
}

/*
 * Handles expired deadlines of attempts, claims and waiting requests, and
 * starts requests that the admission limits now allow. Returns the time of the
 * next call, or INT64_MAX if none is due before another event.
 */
int64_t request_director_tick(struct request_director *director, int64_t now_ms)
{
	uint32_t count = request_catalog_pool_count(director->catalog);
	int64_t next_ms;
	uint64_t id;

	while (deadline_heap_pop(director->attempt_deadlines, now_ms, &id))
		handle_attempt_deadline(director, id, now_ms);
	while (deadline_heap_pop(director->request_deadlines, now_ms, &id))
		handle_request_deadline(director, id, now_ms);
	next_ms = MIN(deadline_heap_next_ms(director->attempt_deadlines),
		      deadline_heap_next_ms(director->request_deadlines));
	for (uint32_t i = 0; i < count; i++) {
		struct request_pool *pool =
			request_catalog_pool_at(director->catalog, i);

		if (pool->retry_ms <= now_ms)
			request_director_dispatch(director, pool, NULL, now_ms);
		next_ms = MIN(next_ms, pool->retry_ms);
	}
	return next_ms;
}
