#include "request_frontend_state.h"

#include <daemon/task_log.h>
#include <inttypes.h>
#include <sys/resource.h>

/* Idle connections to targets that are kept for reuse. */
#define IDLE_TARGET_CONNECTIONS_MAX 512
/* File descriptors reserved for the other tasks of the node. */
#define RESERVED_DESCRIPTORS 64
/* A caller's socket, its duplicate in caller_watch, and a target's socket. */
#define DESCRIPTORS_PER_CONNECTION 3
/* How often idle connections are closed while draining. */
#define DRAIN_POLL_INTERVAL_MS 250

static void on_tick_timer(void *context)
{
	request_frontend_schedule_tick(context);
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	struct request_frontend *frontend = context;
	int64_t now_ms = task_now_ms();
	int64_t next_ms = request_director_tick(frontend->director, now_ms);

	if (next_ms == INT64_MAX)
		timer_cancel(frontend->tick_timer);
	else
		timer_once(frontend->tick_timer,
			   (uint32_t)CLAMP(next_ms - now_ms, 1, INT32_MAX));
}

/* Schedules a tick of the director after the current events. */
void request_frontend_schedule_tick(struct request_frontend *frontend)
{
	event_active(frontend->tick_event, EV_TIMEOUT, 0);
}

/* At the limit, new connections wait in the kernel's accept queue. */
static void on_connections_changed(void *context)
{
	struct request_frontend *frontend = context;
	bool is_accepting =
		frontend->connection_count < frontend->connection_limit;

	if (frontend->is_stopping || frontend->is_draining)
		return;
	for (guint i = 0; i < frontend->listeners->len; i++)
		caller_listener_set_accepting(
			g_ptr_array_index(frontend->listeners, i),
			is_accepting);
}

static bool add_listener(struct request_frontend *frontend,
			 const struct endpoint *endpoint, uint32_t service_id,
			 GError **error)
{
	struct caller_listener_options options = {
		.task = frontend->options.task,
		.settings = &frontend->options.settings->requests,
		.budget = &frontend->budget,
		.connection_count = &frontend->connection_count,
		.endpoint = *endpoint,
		.service_id = service_id,
		.context = frontend,
		.on_request = request_frontend_handle_request,
		.on_connection_count_changed = on_connections_changed,
	};
	struct caller_listener *listener = caller_listener_new(&options, error);

	if (!listener)
		return false;
	g_ptr_array_add(frontend->listeners, listener);
	return true;
}

static bool add_listeners(struct request_frontend *frontend, GError **error)
{
	const struct settings *settings = frontend->options.settings;
	const struct request_settings *requests = &settings->requests;

	if (!add_listener(frontend, &settings->listen_requests, SERVICE_NONE,
			  error))
		return false;
	for (uint32_t i = 0; i < requests->service_address_count; i++) {
		const struct service_address *listen =
			&requests->service_addresses[i];

		if (!add_listener(frontend, &listen->endpoint,
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

static struct connection_pool *
new_connection_pool(const struct request_frontend *frontend)
{
	struct connection_pool_options options = {
		.task = frontend->options.task,
		.capacity = IDLE_TARGET_CONNECTIONS_MAX,
		.header_bytes =
			frontend->options.settings->requests.header_bytes,
	};

	return connection_pool_new(&options);
}

static struct log *new_log(const struct settings *settings)
{
	return task_log_new(settings, "requests");
}

static struct request_director *new_director(struct request_frontend *frontend)
{
	const struct request_settings *settings =
		&frontend->options.settings->requests;
	struct request_director_options options = {
		.seed = g_random_int(),
		.request_limit = settings->request_limit,
		.queue_limit = settings->queue_limit,
		.node_count = 1,
	};

	request_callbacks_fill(&options.callbacks, frontend);
	return request_director_new(&options);
}

static void on_drain_timer(void *context)
{
	struct request_frontend *frontend = context;

	for (guint i = 0; i < frontend->listeners->len; i++)
		caller_listener_close_idle(
			g_ptr_array_index(frontend->listeners, i));
	if (g_hash_table_size(frontend->entries) > 0 ||
	    frontend->connection_count > 0)
		return;
	timer_cancel(frontend->drain_timer);
	frontend->options.on_drained(frontend->options.context);
}

/*
 * Lowers the configured limit to what RLIMIT_NOFILE allows. Once descriptors
 * run out, accept() would fail in a loop; at the lowered limit, new connections
 * wait in the kernel's accept queue instead.
 */
static uint32_t
effective_connection_limit(const struct request_frontend *frontend)
{
	uint32_t configured_limit =
		frontend->options.settings->requests.connection_limit;
	struct rlimit descriptors = {.rlim_cur = 0};
	uint64_t supported_limit = 1;

	if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0)
		return configured_limit;
	if (descriptors.rlim_cur >
	    IDLE_TARGET_CONNECTIONS_MAX + RESERVED_DESCRIPTORS)
		supported_limit =
			(descriptors.rlim_cur - IDLE_TARGET_CONNECTIONS_MAX -
			 RESERVED_DESCRIPTORS) /
			DESCRIPTORS_PER_CONNECTION;
	if (supported_limit >= configured_limit)
		return configured_limit;
	log_write(frontend->log, LOG_LEVEL_WARNING, "connection_limit_lowered",
		  "wanted=%u possible=%" PRIu64, configured_limit,
		  supported_limit);
	return (uint32_t)MAX(supported_limit, 1);
}

static void init(struct request_frontend *frontend)
{
	struct task *task = frontend->options.task;

	frontend->rules = rule_set_new(0);
	frontend->pool = new_connection_pool(frontend);
	frontend->counters = request_counters_new();
	frontend->log = new_log(frontend->options.settings);
	frontend->connection_limit = effective_connection_limit(frontend);
	frontend->budget.limit_bytes =
		frontend->options.settings->requests.buffered_bytes;
	frontend->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	frontend->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, free_attempt);
	frontend->listeners = g_ptr_array_new_with_free_func(free_listener);
	frontend->tick_event =
		event_new(task_base(task), -1, 0, on_tick, frontend);
	frontend->tick_timer = timer_new(task, frontend, on_tick_timer);
	frontend->drain_timer = timer_new(task, frontend, on_drain_timer);
	frontend->director = new_director(frontend);
}

/*
 * Opens the listening sockets; until request_frontend_set_rules, every request
 * is rejected. Must be called in options->task. Fails with
 * DAEMON_ERROR_START.
 */
struct request_frontend *
request_frontend_new(const struct request_frontend_options *options,
		     GError **error)
{
	struct request_frontend *frontend = g_new0(struct request_frontend, 1);

	frontend->options = *options;
	init(frontend);
	if (add_listeners(frontend, error))
		return frontend;
	request_frontend_free(frontend);
	return NULL;
}

/* Resets the connections: a FIN would make a partial response look complete. */
static void abort_all_exchanges(struct request_frontend *frontend)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, frontend->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		caller_exchange_abort(
			((struct request_entry *)value)->exchange);
}

/* Closes all connections, including active ones; NULL is allowed. */
void request_frontend_free(struct request_frontend *frontend)
{
	if (!frontend)
		return;
	frontend->is_stopping = true;
	abort_all_exchanges(frontend);
	g_hash_table_destroy(frontend->attempts);
	g_ptr_array_free(frontend->listeners, TRUE);
	g_hash_table_destroy(frontend->entries);
	connection_pool_free(frontend->pool);
	request_director_free(frontend->director);
	event_free(frontend->tick_event);
	timer_free(frontend->tick_timer);
	timer_free(frontend->drain_timer);
	rule_set_free(frontend->rules);
	counter_set_free(frontend->counters);
	log_free(frontend->log);
	g_free(frontend);
}

/* Replaces the rules and takes ownership of the new ones. */
void request_frontend_set_rules(struct request_frontend *frontend,
				struct rule_set *rules)
{
	rule_set_free(frontend->rules);
	frontend->rules = rules;
	request_director_set_rules(frontend->director, rules, task_now_ms());
	request_frontend_schedule_tick(frontend);
}

/* Passes the state of a target to the request director. */
void request_frontend_set_target_state(struct request_frontend *frontend,
				       uint64_t target_id,
				       enum target_state state)
{
	request_director_set_target_state(frontend->director, target_id, state,
					  task_now_ms());
	request_frontend_schedule_tick(frontend);
}

/* Passes the number of nodes that share the targets to the director. */
void request_frontend_set_node_count(struct request_frontend *frontend,
				     uint32_t node_count)
{
	request_director_set_node_count(frontend->director, MAX(node_count, 1));
	request_frontend_schedule_tick(frontend);
}

/* Passes the result of claiming an idempotency key to the director. */
void request_frontend_set_claim_result(struct request_frontend *frontend,
				       uint64_t request_id,
				       enum claim_result result)
{
	request_director_handle_claim_result(frontend->director, request_id,
					     result, task_now_ms());
	request_frontend_schedule_tick(frontend);
}

/* Applies new log settings. */
void request_frontend_set_log(struct request_frontend *frontend,
			      const struct log_settings_message *settings)
{
	log_settings_message_apply(settings, frontend->log);
}

/*
 * Closes the listening sockets; responses from now on carry Connection: close.
 * Idle connections are first closed after DRAIN_POLL_INTERVAL_MS, so that a
 * request that is already in transit is still served.
 */
void request_frontend_drain(struct request_frontend *frontend)
{
	frontend->is_draining = true;
	request_director_drain(frontend->director, task_now_ms());
	for (guint i = 0; i < frontend->listeners->len; i++)
		caller_listener_close_socket(
			g_ptr_array_index(frontend->listeners, i));
	timer_every(frontend->drain_timer, DRAIN_POLL_INTERVAL_MS);
	request_frontend_schedule_tick(frontend);
}

/* Returns the counters, after updating the gauges. */
const struct counter_set *
request_frontend_counters(struct request_frontend *frontend)
{
	counter_set_assign(frontend->counters, REQUESTS_OPEN,
			   g_hash_table_size(frontend->entries));
	counter_set_assign(frontend->counters, CONNECTIONS_OPEN,
			   frontend->connection_count);
	counter_set_assign(frontend->counters, BUFFERED_BYTES,
			   frontend->budget.used_bytes);
	return frontend->counters;
}
