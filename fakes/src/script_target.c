#include <fakes/script_target.h>

#include "script_connection.h"

#include <errno.h>
#include <event2/listener.h>
#include <fakes/loopback.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <task/task.h>
#include <task/task_error.h>
#include <wire/sock_addr.h>

#define MAILBOX_CAPACITY 16
#define BACKLOG 64

struct script_target {
	struct script_target_options options;
	struct task *task;
	struct evconnlistener *listener;
	struct endpoint endpoint;
	GHashTable *connections;
	/*
	 * Closed connections, which cannot be freed in their own callbacks. The
	 * sweep event frees them.
	 */
	GQueue closed_connections;
	struct event *sweep;
	atomic_uint_fast64_t request_count;
	atomic_uint_fast64_t executed_count;
	atomic_uint_fast64_t sent_bytes;
	atomic_uint_fast64_t open_count;
	pthread_mutex_t lock;
	char *last_head;
};

static const struct script_step *next_script(void *context, const char *head)
{
	struct script_target *target = context;
	uint64_t index = atomic_fetch_add(&target->request_count, 1);

	pthread_mutex_lock(&target->lock);
	g_free(target->last_head);
	target->last_head = g_strdup(head);
	pthread_mutex_unlock(&target->lock);
	return target->options
		.scripts[MIN(index, target->options.script_count - 1)];
}

static void on_executed(void *context)
{
	atomic_fetch_add(&((struct script_target *)context)->executed_count, 1);
}

static void on_sent(void *context, uint64_t length_bytes)
{
	atomic_fetch_add(&((struct script_target *)context)->sent_bytes,
			 length_bytes);
}

static void on_closed(void *context, struct script_connection *connection)
{
	struct script_target *target = context;

	if (!g_hash_table_remove(target->connections, connection))
		return;
	atomic_fetch_sub(&target->open_count, 1);
	g_queue_push_tail(&target->closed_connections, connection);
	event_active(target->sweep, EV_TIMEOUT, 0);
}

static void on_sweep(evutil_socket_t fd, short what, void *context)
{
	struct script_target *target = context;
	struct script_connection *connection;

	while ((connection = g_queue_pop_head(&target->closed_connections)) !=
	       NULL)
		script_connection_free(connection);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	struct script_target *target = context;
	struct script_connection_options options = {
		.base = task_base(target->task),
		.fd = fd,
		.context = target,
		.next_script = next_script,
		.on_executed = on_executed,
		.on_sent = on_sent,
		.on_closed = on_closed,
	};

	atomic_fetch_add(&target->open_count, 1);
	g_hash_table_add(target->connections, script_connection_new(&options));
}

static bool listen_on(struct script_target *target)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, &target->endpoint);

	target->listener = evconnlistener_new_bind(
		task_base(target->task), on_accept, target,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, BACKLOG,
		(struct sockaddr *)&storage, (int)length);
	return target->listener != NULL;
}

static bool start(void *context, struct task *task, GError **error)
{
	struct script_target *target = context;

	target->task = task;
	if (listen_on(target)) {
		target->sweep =
			event_new(task_base(task), -1, 0, on_sweep, target);
		return true;
	}
	g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
		    "script target cannot listen: %s", strerror(errno));
	return false;
}

static void handle(void *context, struct message *message)
{
	message_free(message);
}

static void stop(void *context)
{
	struct script_target *target = context;
	GHashTableIter iter;
	gpointer connection;

	on_sweep(-1, 0, target);
	g_hash_table_iter_init(&iter, target->connections);
	while (g_hash_table_iter_next(&iter, &connection, NULL))
		script_connection_free(connection);
	event_free(target->sweep);
	evconnlistener_free(target->listener);
}

/*
 * Starts a target on a free port of the process's loopback address. The scripts
 * must outlive it. Free it with script_target_free. Fails with TASK_ERROR.
 */
struct script_target *
script_target_new(const struct script_target_options *options, GError **error)
{
	struct script_target *target = g_new0(struct script_target, 1);
	struct task_options task_options = {
		.name = "script",
		.mailbox_capacity = MAILBOX_CAPACITY,
		.context = target,
		.start = start,
		.handle = handle,
		.stop = stop,
	};

	target->options = *options;
	target->endpoint = loopback_free_endpoint();
	target->connections = g_hash_table_new(NULL, NULL);
	g_queue_init(&target->closed_connections);
	pthread_mutex_init(&target->lock, NULL);
	target->task = task_new(&task_options, error);
	if (target->task && task_start(target->task, error))
		return target;
	script_target_free(target);
	return NULL;
}

/* Stops and frees the target; NULL is allowed. */
void script_target_free(struct script_target *target)
{
	if (!target)
		return;
	task_free(target->task);
	g_hash_table_destroy(target->connections);
	pthread_mutex_destroy(&target->lock);
	g_free(target->last_head);
	g_free(target);
}

/* Returns the address that the target listens on. */
struct endpoint script_target_endpoint(const struct script_target *target)
{
	return target->endpoint;
}

/* Returns the number of requests counted by SCRIPT_COUNT_EXECUTION. */
uint64_t script_target_executed_count(const struct script_target *target)
{
	return atomic_load(&((struct script_target *)target)->executed_count);
}

/* Returns the number of requests read completely. */
uint64_t script_target_request_count(const struct script_target *target)
{
	return atomic_load(&((struct script_target *)target)->request_count);
}

/* Returns the number of open connections. */
uint64_t script_target_connection_count(const struct script_target *target)
{
	return atomic_load(&((struct script_target *)target)->open_count);
}

/*
 * Returns the number of response bytes written to the sockets' buffers, without
 * the framing of chunks.
 */
uint64_t script_target_sent_bytes(const struct script_target *target)
{
	return atomic_load(&((struct script_target *)target)->sent_bytes);
}

/* Returns a copy of the last request's head, or NULL. Free it with g_free. */
char *script_target_last_head(struct script_target *target)
{
	char *head;

	pthread_mutex_lock(&target->lock);
	head = g_strdup(target->last_head);
	pthread_mutex_unlock(&target->lock);
	return head;
}
