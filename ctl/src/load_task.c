#include <ctl/load_task.h>

#include "load_connection.h"

#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <task/timer.h>

#define MAILBOX_CAPACITY 16
#define US_PER_S 1000000.0
#define US_PER_MS 1000

struct load_task {
	struct load_options options;
	struct task *task;
	struct timer *timer;
	GRand *rand;
	struct load_result *results;
	uint32_t share_sum;
	int64_t start_us;
	double next_arrival_us;
	uint64_t next_request_number;
	uint32_t open_count;
	/* For each node, its connections without an open request. */
	GPtrArray **idle_connections;
	/* Every connection, with the index of its node. */
	GHashTable *connections;
	atomic_uint_fast64_t done_count;
	pthread_mutex_t lock;
	pthread_cond_t ended_cond;
	bool is_ended;
};

static uint32_t draw_node(const struct load_task *load)
{
	return (uint32_t)g_rand_int_range(load->rand, 0,
					  (gint32)load->options.node_count);
}

static uint32_t draw_class(const struct load_task *load)
{
	uint32_t draw = (uint32_t)g_rand_int_range(load->rand, 0,
						   (gint32)load->share_sum);

	for (uint32_t i = 0; i < load->options.class_count; i++) {
		if (draw < load->options.classes[i].share)
			return i;
		draw -= load->options.classes[i].share;
	}
	return 0;
}

static void signal_end(struct load_task *load)
{
	pthread_mutex_lock(&load->lock);
	load->is_ended = true;
	pthread_cond_signal(&load->ended_cond);
	pthread_mutex_unlock(&load->lock);
}

static double elapsed_us(const struct load_task *load)
{
	return (double)(g_get_monotonic_time() - load->start_us);
}

static bool is_closed_loop(const struct load_task *load)
{
	return load->options.closed_loop_caller_count > 0;
}

static bool is_duration_over(const struct load_task *load)
{
	double at_us =
		is_closed_loop(load) ? elapsed_us(load) : load->next_arrival_us;

	return at_us > (double)load->options.duration_ms * US_PER_MS;
}

static void record_outcome(struct load_task *load, uint32_t class_index,
			   enum load_outcome outcome, uint64_t latency_us)
{
	struct load_result *result = &load->results[class_index];

	result->outcome_counts[outcome]++;
	latency_histogram_add(result->latencies, latency_us);
	atomic_fetch_add(&load->done_count, 1);
}

static void start_request(struct load_task *load);

static void on_request_ended(void *context, struct load_connection *connection,
			     enum load_outcome outcome, uint64_t latency_us)
{
	struct load_task *load = context;
	uint32_t node = GPOINTER_TO_UINT(
		g_hash_table_lookup(load->connections, connection));
	uint32_t class_index = (uint32_t)(load_connection_class(connection) -
					  load->options.classes);

	record_outcome(load, class_index, outcome, latency_us);
	load->open_count--;
	g_ptr_array_add(load->idle_connections[node], connection);
	if (is_closed_loop(load) && !is_duration_over(load))
		start_request(load);
	if (is_duration_over(load) && load->open_count == 0)
		signal_end(load);
}

static struct load_connection *acquire_connection(struct load_task *load,
						  uint32_t node)
{
	struct load_connection_options options = {
		.base = task_base(load->task),
		.node = load->options.nodes[node],
		.timeout_ms = load->options.timeout_ms,
		.is_echo_checked = load->options.is_echo_checked,
		.context = load,
		.request_ended = on_request_ended,
	};
	struct load_connection *connection;

	if (load->idle_connections[node]->len > 0)
		return g_ptr_array_steal_index_fast(
			load->idle_connections[node],
			load->idle_connections[node]->len - 1);
	connection = load_connection_new(&options);
	g_hash_table_insert(load->connections, connection,
			    GUINT_TO_POINTER(node));
	return connection;
}

/* An arrival beyond open_limit is not sent and counts as LOAD_INCOMPLETE. */
static void start_request(struct load_task *load)
{
	uint32_t class_index = draw_class(load);
	uint32_t node = draw_node(load);
	struct load_connection *connection;

	load->results[class_index].sent_count++;
	if (load->open_count >= load->options.open_limit) {
		record_outcome(load, class_index, LOAD_INCOMPLETE, 0);
		return;
	}
	load->open_count++;
	connection = acquire_connection(load, node);
	if (!load_connection_send(connection,
				  &load->options.classes[class_index],
				  load->next_request_number++))
		on_request_ended(load, connection, LOAD_INCOMPLETE, 0);
}

static void draw_next_arrival(struct load_task *load)
{
	double uniform = 1.0 - g_rand_double(load->rand);

	if (is_closed_loop(load))
		return;
	load->next_arrival_us -=
		log(uniform) * US_PER_S / load->options.rate_per_s;
}

/* Sends all requests that are due and sets the timer for the next arrival. */
static void on_timer(void *context)
{
	struct load_task *load = context;
	double now_us = elapsed_us(load);
	double wait_us;

	while (load->next_arrival_us <= now_us && !is_duration_over(load)) {
		start_request(load);
		draw_next_arrival(load);
	}
	if (is_duration_over(load)) {
		if (load->open_count == 0)
			signal_end(load);
		return;
	}
	wait_us = fmax(load->next_arrival_us - now_us, 0);
	timer_once(load->timer, (uint32_t)(wait_us / US_PER_MS) + 1);
}

static void start_closed_loop(struct load_task *load)
{
	for (uint32_t i = 0; i < load->options.closed_loop_caller_count; i++)
		start_request(load);
}

static bool start_task(void *context, struct task *task, GError **error)
{
	struct load_task *load = context;

	load->task = task;
	load->timer = timer_new(task, load, on_timer);
	load->start_us = g_get_monotonic_time();
	if (is_closed_loop(load))
		start_closed_loop(load);
	else
		timer_once(load->timer, 0);
	return true;
}

static void handle_message(void *context, struct message *message)
{
	message_free(message);
}

static void stop_task(void *context)
{
	struct load_task *load = context;
	GHashTableIter iter;
	gpointer connection;

	timer_free(load->timer);
	g_hash_table_iter_init(&iter, load->connections);
	while (g_hash_table_iter_next(&iter, &connection, NULL))
		load_connection_free(connection);
	g_hash_table_remove_all(load->connections);
}

static void init_load(struct load_task *load)
{
	load->rand = g_rand_new_with_seed((guint32)load->options.seed);
	load->results = g_new0(struct load_result, load->options.class_count);
	for (uint32_t i = 0; i < load->options.class_count; i++) {
		load->results[i].latencies = latency_histogram_new();
		load->share_sum += load->options.classes[i].share;
	}
	load->idle_connections = g_new0(GPtrArray *, load->options.node_count);
	for (uint32_t i = 0; i < load->options.node_count; i++)
		load->idle_connections[i] = g_ptr_array_new();
	load->connections = g_hash_table_new(NULL, NULL);
	draw_next_arrival(load);
}

/*
 * Starts a load generator; the nodes and classes in the options must outlive
 * it. Free it with load_task_free. Fails with TASK_ERROR.
 */
struct load_task *load_task_new(const struct load_options *options,
				GError **error)
{
	struct load_task *load = g_new0(struct load_task, 1);
	struct task_options task_options = {
		.name = "load",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = load,
		.start = start_task,
		.handle = handle_message,
		.stop = stop_task,
	};

	load->options = *options;
	pthread_mutex_init(&load->lock, NULL);
	pthread_cond_init(&load->ended_cond, NULL);
	init_load(load);
	load->task = task_new(&task_options, error);
	if (load->task && task_start(load->task, error))
		return load;
	load_task_free(load);
	return NULL;
}

/* Waits until the load generator has ended, and stops its task. */
void load_task_join(struct load_task *load)
{
	pthread_mutex_lock(&load->lock);
	while (!load->is_ended)
		pthread_cond_wait(&load->ended_cond, &load->lock);
	pthread_mutex_unlock(&load->lock);
	task_stop(load->task);
}

/* Stops and frees a load generator; NULL is allowed. */
void load_task_free(struct load_task *load)
{
	if (!load)
		return;
	task_free(load->task);
	pthread_mutex_destroy(&load->lock);
	pthread_cond_destroy(&load->ended_cond);
	for (uint32_t i = 0; i < load->options.class_count; i++)
		latency_histogram_free(load->results[i].latencies);
	for (uint32_t i = 0; i < load->options.node_count; i++)
		g_ptr_array_free(load->idle_connections[i], TRUE);
	g_free(load->idle_connections);
	g_free(load->results);
	g_hash_table_destroy(load->connections);
	g_rand_free(load->rand);
	g_free(load);
}

/* Returns the number of requests that have ended so far; thread-safe. */
uint64_t load_task_done_count(const struct load_task *load)
{
	return atomic_load(&((struct load_task *)load)->done_count);
}

/* Returns the results of a class; valid after load_task_join. */
const struct load_result *load_task_result(const struct load_task *load,
					   uint32_t class_index)
{
	return &load->results[class_index];
}
