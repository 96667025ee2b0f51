/* The callers of the flood benchmark. */
#include "flood_state.h"

#include <math.h>

#define MS_PER_S 1000
#define MILLI 1000.0
#define HEAVY_CALLER_PERCENT 50
#define SLOW_OPERATION_PERCENT 2
#define SLOW_OPERATION_DURATION_FACTOR 3
#define REQUESTS_PER_OPERATION_MAX 6
#define RETRY_WINDOW_MS 5000
#define RETRY_DELAY_MAX_MS 200
#define GIVE_UP_MARGIN_MS 100
#define LATE_REFUSAL_MS 10
#define DUPLICATE_REQUEST_PERCENT 10

const struct flood_class flood_classes[CLASS_COUNT] = {
	[CLASS_URGENT] = {20, 1000, 30, 10},
	[CLASS_NORMAL] = {30, 2000, 0, 10},
	[CLASS_BULK] = {80, 10000, 0, 0},
};

/* An operation whose request the caller will retry. */
struct request_retry {
	struct flood_fleet *fleet;
	struct flood_operation *operation;
};

static uint32_t random_below(struct flood_fleet *fleet, uint32_t below)
{
	return (uint32_t)g_rand_int_range(driver_rand(fleet->driver), 0,
					  (gint32)below);
}

static struct flood_node *pick_node(struct flood_fleet *fleet)
{
	uint32_t index = random_below(fleet, fleet->options.node_count);

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		struct flood_node *node =
			&fleet->nodes[(index + i) % fleet->options.node_count];

		if (!node->is_dead)
			return node;
	}
	return &fleet->nodes[index];
}

static void on_request_timeout(void *context);

/* A request that its caller gives up GIVE_UP_MARGIN_MS after the deadline. */
struct request_timeout {
	struct flood_fleet *fleet;
	struct flood_request *request;
};

static void start_request_timeout(struct flood_fleet *fleet,
				  struct flood_request *request)
{
	struct request_timeout *request_timeout;

	if (!fleet->options.has_chaos)
		return;
	request_timeout = g_new(struct request_timeout, 1);
	request_timeout->fleet = fleet;
	request_timeout->request = flood_request_ref(request);
	driver_schedule(fleet->driver,
			(uint32_t)(request->deadline_ms - request->sent_ms) +
				GIVE_UP_MARGIN_MS,
			request_timeout, on_request_timeout);
}

/* Sends a request for an operation to a random live node. */
void flood_callers_send(struct flood_fleet *fleet,
			struct flood_operation *operation)
{
	const struct flood_class *class = &flood_classes[operation->work_class];
	struct flood_node *node = pick_node(fleet);
	struct flood_request *request =
		flood_request_new(operation, ++fleet->next_id);
	struct flood_event *event =
		flood_event_new(FLOOD_EVENT_REQUEST, node->node_id);

	request->node_id = node->node_id;
	request->sent_ms = driver_now_ms(fleet->driver);
	request->deadline_ms = request->sent_ms + class->deadline_ms;
	g_hash_table_insert(fleet->open_requests, &request->request_id,
			    request);
	event->request = (struct request_info){
		.request_id = request->request_id,
		.service_id = service_id_from_name(
			work_class_name(operation->work_class)),
		.caller_hash = operation->caller + 1,
		.is_repeatable = operation->is_repeatable,
		.has_idempotency_key = operation->has_key,
		.idempotency_key_hash = {operation->operation_id,
					 operation->operation_id *
						 0x9e3779b97f4a7c15ULL},
		.deadline_ms = request->deadline_ms,
	};
	flood_fleet_send_event(fleet, event);
	start_request_timeout(fleet, request);
}

static void on_retry(void *context)
{
	struct request_retry *retry = context;

	if (!retry->operation->is_done)
		flood_callers_send(retry->fleet, retry->operation);
	if (--retry->operation->refs == 0)
		g_free(retry->operation);
	g_free(retry);
}

/*
 * In a run with faults, schedules a retry if that is safe: the last request did
 * not run, the operation is idempotent, or it has an idempotency key.
 */
static void schedule_retry(struct flood_fleet *fleet,
			   struct flood_operation *operation, bool is_safe)
{
	int64_t age_ms = driver_now_ms(fleet->driver) - operation->started_ms;
	struct request_retry *retry;

	if (!fleet->options.has_chaos || operation->is_done ||
	    operation->request_count >= REQUESTS_PER_OPERATION_MAX ||
	    age_ms > RETRY_WINDOW_MS ||
	    !(is_safe || operation->is_repeatable || operation->has_key))
		return;
	retry = g_new(struct request_retry, 1);
	retry->fleet = fleet;
	retry->operation = operation;
	operation->refs++;
	fleet->stats.caller_retries++;
	driver_schedule(fleet->driver, random_below(fleet, RETRY_DELAY_MAX_MS),
			retry, on_retry);
}

static void remove_request(struct flood_fleet *fleet,
			   struct flood_request *request)
{
	g_hash_table_remove(fleet->open_requests, &request->request_id);
}

static bool is_counted(const struct flood_fleet *fleet,
		       const struct flood_request *request)
{
	return request->sent_ms >= fleet->options.flood_start_ms;
}

/* Called when a caller has received the complete response. */
void flood_callers_handle_response(struct flood_fleet *fleet,
				   struct flood_request *request)
{
	struct flood_operation *operation = request->operation;
	int64_t latency_ms = driver_now_ms(fleet->driver) - request->sent_ms;

	if (request->execution_count == 0)
		fleet->stats.false_responses++;
	operation->is_done = true;
	if (is_counted(fleet, request) &&
	    latency_ms <= flood_classes[operation->work_class].deadline_ms)
		flood_stats_add_response(
			&fleet->stats, operation->work_class, operation->caller,
			request->sent_ms + latency_ms <= fleet->options.end_ms
				? operation->work_ms
				: 0,
			latency_ms);
	remove_request(fleet, request);
}

/*
 * Called when a node reports to a caller that its request did not run, or that
 * it may have run. A request may run several times if its operation is
 * idempotent, so only its own executions count; otherwise any execution of the
 * operation does.
 */
void flood_callers_handle_refusal(struct flood_fleet *fleet,
				  struct flood_request *request,
				  enum refusal_kind kind)
{
	struct flood_operation *operation = request->operation;
	int64_t latency_ms = driver_now_ms(fleet->driver) - request->sent_ms;
	bool has_run = operation->is_repeatable
			       ? request->execution_count > 0
			       : operation->execution_count > 0;

	if (kind == REFUSAL_NOT_RUN) {
		request->is_reported_not_run = true;
		if (has_run)
			fleet->stats.false_not_run++;
	}
	if (is_counted(fleet, request)) {
		if (kind == REFUSAL_NOT_RUN)
			fleet->stats.refused[operation->work_class]++;
		else
			fleet->stats.unknown[operation->work_class]++;
		if (kind == REFUSAL_NOT_RUN && latency_ms >= LATE_REFUSAL_MS)
			fleet->stats.late_refusals++;
		if (kind == REFUSAL_NOT_RUN &&
		    (uint64_t)latency_ms > fleet->stats.refusal_max_ms)
			fleet->stats.refusal_max_ms = (uint64_t)latency_ms;
	}
	schedule_retry(fleet, operation, kind == REFUSAL_NOT_RUN);
	remove_request(fleet, request);
}

/* Called when a caller's connection closes in the middle of the response. */
void flood_callers_handle_disconnect(struct flood_fleet *fleet,
				     struct flood_request *request)
{
	schedule_retry(fleet, request->operation, false);
	remove_request(fleet, request);
}

static void on_request_timeout(void *context)
{
	struct request_timeout *request_timeout = context;
	struct flood_fleet *fleet = request_timeout->fleet;
	struct flood_request *request = request_timeout->request;
	struct flood_event *event;

	if (request->is_open) {
		request->is_open = false;
		event = flood_event_new(FLOOD_EVENT_CALLER_DISCONNECTED,
					request->node_id);
		event->id = request->request_id;
		flood_fleet_send_event(fleet, event);
		schedule_retry(fleet, request->operation, false);
		remove_request(fleet, request);
	}
	flood_request_unref(request);
	g_free(request_timeout);
}

/* Called when a node dies: the connections of its callers are reset. */
void flood_callers_handle_node_death(struct flood_fleet *fleet,
				     uint64_t node_id)
{
	GPtrArray *lost_requests = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->open_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct flood_request *request = value;

		if (request->node_id == node_id)
			g_ptr_array_add(lost_requests, request);
	}
	for (guint i = 0; i < lost_requests->len; i++) {
		struct flood_request *request =
			g_ptr_array_index(lost_requests, i);

		request->is_open = false;
		schedule_retry(fleet, request->operation, false);
		remove_request(fleet, request);
	}
	g_ptr_array_free(lost_requests, TRUE);
}

static uint32_t random_work_ms(struct flood_fleet *fleet, uint32_t mean_ms)
{
	uint32_t work_ms = mean_ms / 2 + random_below(fleet, mean_ms + 1);

	if (random_below(fleet, 100) < SLOW_OPERATION_PERCENT)
		work_ms *= SLOW_OPERATION_DURATION_FACTOR;
	return work_ms;
}

static void set_random_method(struct flood_fleet *fleet,
			      struct flood_operation *operation)
{
	const struct flood_class *class = &flood_classes[operation->work_class];
	uint32_t percent = random_below(fleet, 100);

	operation->has_key = percent < class->with_key_percent;
	operation->is_repeatable =
		percent >= class->with_key_percent + class->without_key_percent;
}

/* In a flood, caller 0 sends HEAVY_CALLER_PERCENT and its share of the rest. */
static uint32_t pick_caller(struct flood_fleet *fleet, bool is_flood)
{
	if (is_flood && random_below(fleet, 100) < HEAVY_CALLER_PERCENT)
		return 0;
	return random_below(fleet, FLOOD_CALLER_COUNT);
}

static void start_operation(struct flood_fleet *fleet,
			    enum work_class work_class, bool is_flood,
			    int64_t now_ms)
{
	struct flood_operation *operation = g_new0(struct flood_operation, 1);

	operation->operation_id = ++fleet->next_id;
	operation->work_class = work_class;
	operation->caller = pick_caller(fleet, is_flood);
	operation->work_ms =
		random_work_ms(fleet, flood_classes[work_class].work_ms);
	operation->started_ms = now_ms;
	set_random_method(fleet, operation);
	operation->refs = 1;
	if (now_ms >= fleet->options.flood_start_ms)
		fleet->stats.offered[work_class]++;
	flood_callers_send(fleet, operation);
	if (fleet->options.has_chaos && operation->has_key &&
	    random_below(fleet, 100) < DUPLICATE_REQUEST_PERCENT)
		flood_callers_send(fleet, operation);
	if (--operation->refs == 0)
		g_free(operation);
}

/*
 * Generates the arrivals of one millisecond. The intervals are exponentially
 * distributed, so the arrivals of each class are a Poisson process.
 */
void flood_callers_tick(struct flood_fleet *fleet, int64_t now_ms)
{
	bool is_flood = now_ms >= fleet->options.flood_start_ms;
	const struct flood_load *load = is_flood ? &fleet->options.flood_load
						 : &fleet->options.steady_load;
	uint32_t slots =
		fleet->options.target_count * fleet->options.slot_count;

	for (int i = 0; i < CLASS_COUNT; i++) {
		double arrivals_per_ms = load->load_milli[i] / MILLI * slots /
					 flood_classes[i].work_ms;

		if (load->load_milli[i] == 0)
			continue;
		for (fleet->arrival_time_left_ms[i] += 1;
		     fleet->arrival_time_left_ms[i] > 0;) {
			double uniform =
				1.0 - g_rand_double(driver_rand(fleet->driver));

			start_operation(fleet, (enum work_class)i, is_flood,
					now_ms);
			fleet->arrival_time_left_ms[i] +=
				log(uniform) / arrivals_per_ms;
		}
	}
}
