/* Starts waiting requests: picks the class, the target and the retry time. */
#include "request_director_state.h"

#include <core/target_choice.h>

#define FAILING_OVERRIDE_MS 2000
#define INDEX_NONE UINT32_MAX
#define INDEX_WAIT (UINT32_MAX - 1)

/*
 * Whether a target can take a request. AVAILABLE_LATER: it is busy or has no
 * free slot. AVAILABLE_LAST_RESORT: it is failing. UNAVAILABLE: it is leaving
 * or cut off.
 */
enum availability {
	AVAILABLE,
	AVAILABLE_LATER,
	AVAILABLE_LAST_RESORT,
	UNAVAILABLE,
};

/*
 * Returns whether to avoid a target as failing. A report of failure is ignored
 * when the target responded to this node within FAILING_OVERRIDE_MS, because
 * reports lag and may be wrong.
 */
static bool is_failing(const struct target_stats *stats,
		       enum target_state state, int64_t now_ms)
{
	if (outlier_is_ejected(&stats->outlier, now_ms))
		return true;
	return state == TARGET_FAILING &&
	       now_ms - stats->outlier.last_response_ms > FAILING_OVERRIDE_MS;
}

static enum availability availability(const struct target_stats *stats,
				      enum target_state state, int64_t now_ms)
{
	if (state == TARGET_LEAVING || state == TARGET_CUT_OFF)
		return UNAVAILABLE;
	if (is_failing(stats, state, now_ms))
		return AVAILABLE_LAST_RESORT;
	if (target_limit_is_busy(&stats->limit, now_ms) ||
	    stats->limit.in_flight >= target_limit_in_flight_max(&stats->limit))
		return AVAILABLE_LATER;
	return AVAILABLE;
}

/* During slow start, selects a target with a probability equal to its share. */
static bool is_selected_in_slow_start(struct request_director *director,
				      struct target_stats *stats,
				      int64_t now_ms)
{
	uint32_t share = slow_start_share_milli(&stats->slow_start, now_ms);

	return share >= SLOW_START_FULL_MILLI ||
	       (uint32_t)g_rand_int_range(director->rand, 0,
					  SLOW_START_FULL_MILLI) < share;
}

/*
 * The result of scanning a service's targets; the candidates are in the
 * director. The indexes are INDEX_NONE if there is no such target: freed_index
 * is the target whose request has just ended, slow_start_index one not selected
 * during slow start, last_tried_index the target of the request's last attempt
 * and last_resort_index a failing one with a free slot.
 */
struct target_scan {
	uint32_t freed_index;
	uint32_t slow_start_index;
	uint32_t last_tried_index;
	uint32_t last_resort_index;
	uint32_t available_later_count;
	int64_t next_available_ms;
};

static void add_candidate(struct request_director *director,
			  const struct target_stats *stats, uint32_t index)
{
	struct target_candidate candidate = {
		.index = index,
		.in_flight = stats->limit.in_flight,
		.weight_milli = target_limit_weight_milli(&stats->limit),
		.latency_ratio_milli = stats->limit.latency_ratio_milli,
	};

	g_array_append_val(director->candidates, candidate);
}

static void add_available_later(struct target_scan *scan,
				const struct target_stats *stats,
				int64_t now_ms)
{
	scan->available_later_count++;
	if (target_limit_is_busy(&stats->limit, now_ms) &&
	    stats->limit.busy_until_ms < scan->next_available_ms)
		scan->next_available_ms = stats->limit.busy_until_ms;
}

static void add_available(struct request_director *director,
			  const struct open_request *request,
			  struct target_scan *scan, struct target_stats *stats,
			  uint32_t index, int64_t now_ms)
{
	if (request->attempt_count > 0 &&
	    endpoint_equal(&stats->endpoint, &request->last_endpoint))
		scan->last_tried_index = index;
	else if (is_selected_in_slow_start(director, stats, now_ms))
		add_candidate(director, stats, index);
	else
		scan->slow_start_index = index;
}

static void scan_targets(struct request_director *director,
			 const struct request_service *service,
			 const struct open_request *request,
			 const struct target_stats *freed,
			 struct target_scan *scan, int64_t now_ms)
{
	for (uint32_t i = 0; i < service->stats_by_target->len; i++) {
		struct target_stats *stats =
			g_ptr_array_index(service->stats_by_target, i);

		if (stats == freed)
			scan->freed_index = i;
		switch (availability(stats, service->states[i], now_ms)) {
		case AVAILABLE:
			add_available(director, request, scan, stats, i,
				      now_ms);
			break;
		case AVAILABLE_LATER:
			add_available_later(scan, stats, now_ms);
			break;
		case AVAILABLE_LAST_RESORT:
			if (stats->limit.in_flight <
			    target_limit_in_flight_max(&stats->limit))
				scan->last_resort_index = i;
			else
				scan->available_later_count++;
			break;
		case UNAVAILABLE:
			break;
		}
	}
}

/*
 * Picks a target for a request. Returns INDEX_WAIT when one will become
 * available later, and INDEX_NONE when none will. A retry avoids the last
 * target while another one is available; failing targets are used only when
 * all others are leaving or cut off.
 */
static uint32_t select_target(struct request_director *director,
			      const struct request_service *service,
			      const struct open_request *request,
			      const struct target_stats *freed,
			      int64_t *next_available_ms, int64_t now_ms)
{
	struct target_scan scan = {INDEX_NONE, INDEX_NONE, INDEX_NONE,
				   INDEX_NONE, 0,	   INT64_MAX};

	g_array_set_size(director->candidates, 0);
	scan_targets(director, service, request, freed, &scan, now_ms);
	if (director->candidates->len > 0)
		return target_choice_pick(
			(struct target_candidate *)director->candidates->data,
			director->candidates->len, scan.freed_index,
			director->rand);
	if (scan.slow_start_index != INDEX_NONE)
		return scan.slow_start_index;
	if (scan.last_tried_index != INDEX_NONE)
		return scan.last_tried_index;
	*next_available_ms = MIN(*next_available_ms, scan.next_available_ms);
	if (scan.available_later_count > 0)
		return INDEX_WAIT;
	return scan.last_resort_index;
}

/* A repeatable request's first attempt leaves half the time for retries. */
static int64_t attempt_due_ms(const struct open_request *request,
			      int64_t now_ms)
{
	int64_t remaining_ms = request->info.deadline_ms - now_ms;

	if (request->info.is_repeatable && request->attempt_count == 0)
		remaining_ms -= remaining_ms / 2;
	return now_ms + remaining_ms;
}

static struct placement make_placement(const struct request_service *service,
				       const struct open_request *request,
				       uint32_t index)
{
	const struct target *target = &service->rule->targets[index];

	return (struct placement){
		.kind = PLACE_TO_TARGET,
		.reason =
			request->attempt_count ? REASON_RETRY : REASON_ADMITTED,
		.service_id = service->rule->service.service_id,
		.target_id = target->target_id,
		.endpoint = target->endpoint,
	};
}

static void start_attempt(struct request_director *director,
			  struct request_service *service,
			  struct open_request *request, uint32_t index,
			  int64_t now_ms)
{
	const struct request_callbacks *callbacks =
		&director->options.callbacks;
	struct request_attempt *attempt = g_new0(struct request_attempt, 1);

	attempt->attempt_id = ++director->next_attempt_id;
	attempt->request_id = request->info.request_id;
	attempt->service_id = request->info.service_id;
	attempt->work_class = request->work_class;
	attempt->stats = g_ptr_array_index(service->stats_by_target, index);
	attempt->pool = service->pool;
	attempt->placement = make_placement(service, request, index);
	attempt->started_ms = now_ms;
	attempt->due_ms = attempt_due_ms(request, now_ms);
	attempt->stats->limit.in_flight++;
	admission_add_in_flight(&service->pool->admission, request->work_class,
				1, now_ms);
	if (request->attempt_count == 0)
		retry_budget_earn(&service->retry_budget);
	request->state = REQUEST_RUNNING;
	request->attempt_id = attempt->attempt_id;
	request->attempt_count++;
	request->last_endpoint = attempt->stats->endpoint;
	g_hash_table_insert(director->attempts, &attempt->attempt_id, attempt);
	deadline_heap_push(director->attempt_deadlines, attempt->due_ms,
			   attempt->attempt_id);
	callbacks->log(callbacks->context, request->info.request_id,
		       attempt->attempt_id, &attempt->placement);
	callbacks->start(callbacks->context, request->info.request_id,
			 attempt->attempt_id, &attempt->placement,
			 attempt->due_ms);
}

/*
 * Starts or refuses the next request of the queue; returns false if it must
 * wait for a target.
 */
static bool dispatch_next(struct request_director *director,
			  struct request_pool *pool, struct class_queue *queue,
			  const struct target_stats *freed,
			  int64_t *next_available_ms, int64_t now_ms)
{
	struct open_request *request;
	struct request_service *service;
	uint64_t request_id;
	uint32_t index;

	class_queue_peek(queue, &request_id, now_ms);
	request = g_hash_table_lookup(director->requests, &request_id);
	service = request_catalog_service(director->catalog,
					  request->info.service_id);
	index = INDEX_NONE;
	if (now_ms < request->info.deadline_ms)
		index = select_target(director, service, request, freed,
				      next_available_ms, now_ms);
	if (index == INDEX_WAIT)
		return false;
	class_queue_pop(queue, &request_id);
	if (now_ms >= request->info.deadline_ms)
		request_director_refuse(director, request, REASON_DEADLINE);
	else if (index == INDEX_NONE)
		request_director_refuse(director, request, REASON_NO_TARGET);
	else
		start_attempt(director, service, request, index, now_ms);
	return true;
}

/*
 * Starts all requests of a pool that may start now and sets the pool's
 * retry_ms. freed is the target whose request has just ended, or NULL.
 */
void request_director_dispatch(struct request_director *director,
			       struct request_pool *pool,
			       const struct target_stats *freed, int64_t now_ms)
{
	struct admission_limits limits = request_pool_limits(pool, now_ms);
	bool has_waiting[CLASS_COUNT];
	int64_t next_available_ms = INT64_MAX;
	enum work_class next;

	for (int i = 0; i < CLASS_COUNT; i++)
		has_waiting[i] = class_queue_length(pool->queues[i]) > 0;
	/* Without a usable target, admit all, so that each is refused. */
	if (limits.share_milli == 0)
		limits = (struct admission_limits){UINT16_MAX, UINT16_MAX};
	while (admission_next_class(&pool->admission, &limits, has_waiting,
				    &next, now_ms)) {
		struct class_queue *queue = pool->queues[next];

		has_waiting[next] = dispatch_next(director, pool, queue, freed,
						  &next_available_ms, now_ms) &&
				    class_queue_length(queue) > 0;
		freed = NULL;
	}
	pool->retry_ms = INT64_MAX;
	if (request_pool_has_waiting(pool))
		pool->retry_ms = MIN(
			next_available_ms,
			admission_retry_ms(&pool->admission, &limits, now_ms));
}
