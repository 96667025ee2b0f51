#include "request_front_state.h"

#include <daemon/task_log.h>
#include <inttypes.h>
#include <sys/resource.h>

/* Connections to targets that are kept for later requests. */
#define POOL_CAPACITY 512
/* Descriptors that the rest of the node needs. */
#define DESCRIPTOR_RESERVE 64
/* A caller's connection, its watch, and a connection to a target. */
#define DESCRIPTORS_PER_CONNECTION 3
/* How often a draining front end closes connections that have gone idle. */
#define DRAIN_STEP_MS 250

static void on_turn_timer(void *context)
{
	request_front_turn_soon(context);
}

static void on_turn(evutil_socket_t fd, short what, void *context)
{
	struct request_front *front = context;
	int64_t now_ms = task_now_ms();
	int64_t next_ms = request_director_tick(front->director, now_ms);

	if (next_ms == INT64_MAX)
		timer_cancel(front->turn_timer);
	else
		timer_once(front->turn_timer,
			   (uint32_t)CLAMP(next_ms - now_ms, 1, INT32_MAX));
}

/* Has the director look at the clock once the current events are done. */
void request_front_turn_soon(struct request_front *front)
{
	event_active(front->turn_event, EV_TIMEOUT, 0);
}

/* At the limit, further callers wait in the kernel's queue. */
static void on_connections_changed(void *context)
{
	struct request_front *front = context;
	bool is_open = front->connection_count < front->connection_limit;

	if (front->is_stopping || front->is_draining)
		return;
	for (guint i = 0; i < front->listeners->len; i++)
		caller_listener_accept(g_ptr_array_index(front->listeners, i),
				       is_open);
}

static bool add_listener(struct request_front *front,
			 const struct endpoint *endpoint, uint32_t service_id,
			 GError **error)
{
	struct caller_listener_options options = {
		.task = front->options.task,
		.settings = &front->options.settings->requests,
		.budget = &front->budget,
		.connection_count = &front->connection_count,
		.endpoint = *endpoint,
		.service_id = service_id,
		.context = front,
		.arrived = request_front_arrived,
		.changed = on_connections_changed,
	};
	struct caller_listener *listener = caller_listener_new(&options, error);

	if (!listener)
		return false;
	g_ptr_array_add(front->listeners, listener);
	return true;
}

static bool add_listeners(struct request_front *front, GError **error)
{
	const struct settings *settings = front->options.settings;
	const struct request_settings *requests = &settings->requests;

	if (!add_listener(front, &settings->listen_requests, SERVICE_NONE,
			  error))
		return false;
	for (uint32_t i = 0; i < requests->service_listen_count; i++) {
		const struct service_listen *listen =
			&requests->service_listens[i];

		if (!add_listener(front, &listen->endpoint,
				  service_id_from_name(listen->name), error))
			return false;
	}
	return true;
}

static void free_listener(gpointer listener)
{
	caller_listener_free(listener);
}

static void free_attempt(gpointer attempt)
{
	target_attempt_free(attempt);
}

static struct target_pool *new_pool(const struct request_front *front)
{
	struct target_pool_options options = {
		.task = front->options.task,
		.capacity = POOL_CAPACITY,
		.header_bytes = front->options.settings->requests.header_bytes,
	};

	return target_pool_new(&options);
}

static struct log *new_log(const struct settings *settings)
{

	return task_log_new(settings, "requests");
}

static struct request_director *new_director(struct request_front *front)
{
	const struct request_settings *settings =
		&front->options.settings->requests;
	struct request_director_options options = {
		.seed = g_random_int(),
		.request_limit = settings->request_limit,
		.queue_limit = settings->queue_limit,
		.node_count = 1,
	};

	request_effects_fill(&options.effects, front);
	return request_director_new(&options);
}

static void on_drain_timer(void *context)
{
	struct request_front *front = context;

	for (guint i = 0; i < front->listeners->len; i++)
		caller_listener_close_idle(
			g_ptr_array_index(front->listeners, i));
	if (g_hash_table_size(front->entries) > 0 ||
	    front->connection_count > 0)
		return;
	timer_cancel(front->drain_timer);
	front->options.drained(front->options.context);
}

/*
 * Beyond the descriptors of the process, accepting would fail again and again,
 * so callers have to wait in the kernel's queue before that.
 */
static uint32_t connection_limit(const struct request_front *front)
{
	uint32_t wanted = front->options.settings->requests.connection_limit;
	struct rlimit descriptors = {.rlim_cur = 0};
	uint64_t possible = 1;

	if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0)
		return wanted;
	if (descriptors.rlim_cur > POOL_CAPACITY + DESCRIPTOR_RESERVE)
		possible = (descriptors.rlim_cur - POOL_CAPACITY -
			    DESCRIPTOR_RESERVE) /
			   DESCRIPTORS_PER_CONNECTION;
	if (possible >= wanted)
		return wanted;
	log_write(front->log, LOG_LEVEL_WARNING, "connection_limit_lowered",
		  "wanted=%u possible=%" PRIu64, wanted, possible);
	return (uint32_t)MAX(possible, 1);
}

static void prepare(struct request_front *front)
{
	struct task *task = front->options.task;

	front->rules = rule_set_new(0);
	front->pool = new_pool(front);
	front->counters = request_counters_new();
	front->log = new_log(front->options.settings);
	front->connection_limit = connection_limit(front);
	front->budget.limit_bytes =
		front->options.settings->requests.buffered_bytes;
	front->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	front->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, free_attempt);
	front->listeners = g_ptr_array_new_with_free_func(free_listener);
	front->turn_event = event_new(task_base(task), -1, 0, on_turn, front);
	front->turn_timer = timer_new(task, front, on_turn_timer);
	front->drain_timer = timer_new(task, front, on_drain_timer);
	front->director = new_director(front);
}

/*
 * Opens the listening addresses; until rules come, every request is refused.
 * Call it in the task that is to own it. Fails with DAEMON_ERROR_START.
 */
struct request_front *
request_front_new(const struct request_front_options *options, GError **error)
{
	struct request_front *front = g_new0(struct request_front, 1);

	front->options = *options;
	prepare(front);
	if (add_listeners(front, error))
		return front;
	request_front_free(front);
	return NULL;
}

/* An orderly close would make the part of an answer look like the whole. */
static void cut_all(struct request_front *front)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, front->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		caller_exchange_cut(((struct request_entry *)value)->exchange);
}

/* Closes all connections, whatever they carry; NULL is allowed. */
void request_front_free(struct request_front *front)
{
	if (!front)
		return;
	front->is_stopping = true;
	cut_all(front);
	g_hash_table_destroy(front->attempts);
	g_ptr_array_free(front->listeners, TRUE);
	g_hash_table_destroy(front->entries);
	target_pool_free(front->pool);
	request_director_free(front->director);
	event_free(front->turn_event);
	timer_free(front->turn_timer);
	timer_free(front->drain_timer);
	rule_set_free(front->rules);
	counter_set_free(front->counters);
	log_free(front->log);
	g_free(front);
}

/* Puts rules into force and takes ownership of them. */
void request_front_set_rules(struct request_front *front,
			     struct rule_set *rules)
{
	rule_set_free(front->rules);
	front->rules = rules;
	request_director_set_rules(front->director, rules, task_now_ms());
	request_front_turn_soon(front);
}

/* Passes on what is known of a target. */
void request_front_set_target_state(struct request_front *front,
				    uint64_t target_id, enum target_state state)
{
	request_director_set_target_state(front->director, target_id, state,
					  task_now_ms());
	request_front_turn_soon(front);
}

/* Passes on how many nodes share the targets. */
void request_front_set_node_count(struct request_front *front,
				  uint32_t node_count)
{
	request_director_set_node_count(front->director, MAX(node_count, 1));
	request_front_turn_soon(front);
}

/* Passes on what the holders of an idempotency key answered. */
void request_front_claimed(struct request_front *front, uint64_t request_id,
			   enum claim_result result)
{
	request_director_claimed(front->director, request_id, result,
				 task_now_ms());
	request_front_turn_soon(front);
}

/* Changes how much is logged. */
void request_front_set_log(struct request_front *front,
			   const struct log_settings_message *settings)
{
	log_settings_message_apply(settings, front->log);
}

/*
 * Closes the listening addresses and has every answer end its connection.
 * Connections close one step after they have gone idle, which leaves time for
 * a request that is already on its way.
 */
void request_front_drain(struct request_front *front)
{
	front->is_draining = true;
	request_director_drain(front->director, task_now_ms());
	for (guint i = 0; i < front->listeners->len; i++)
		caller_listener_leave(g_ptr_array_index(front->listeners, i));
	timer_every(front->drain_timer, DRAIN_STEP_MS);
	request_front_turn_soon(front);
}

/* Returns the counters, with the gauges brought up to date. */
const struct counter_set *request_front_counters(struct request_front *front)
{
	counter_set_assign(front->counters, REQUESTS_OPEN,
			   g_hash_table_size(front->entries));
	counter_set_assign(front->counters, CONNECTIONS_OPEN,
			   front->connection_count);
	counter_set_assign(front->counters, BUFFERED_BYTES,
			   front->budget.held_bytes);
	return front->counters;
}
