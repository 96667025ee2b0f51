#include "caller_connection.h"

#include "caller_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <task/tcp_option.h>
#include <task/timer.h>

enum connection_phase {
	PHASE_IDLE,
	PHASE_READING,
	PHASE_RESPONDING,
};

struct caller_connection {
	struct caller_connection_options options;
	struct bufferevent *stream;
	struct timer *timer;
	struct event *close_event;
	struct caller_watch *watch;
	enum connection_phase phase;
	uint64_t charged_bytes;
	/* The exchange in progress; NULL between requests. */
	void *exchange_context;
	void (*on_connection_closed)(void *exchange_context);
};

static void schedule_close(struct caller_connection *connection)
{
	event_active(connection->close_event, EV_TIMEOUT, 0);
}

static void on_close(evutil_socket_t fd, short what, void *context)
{
	struct caller_connection *connection = context;

	evhttp_connection_free(connection->options.http);
}

static void on_timer(void *context)
{
	evhttp_connection_free(
		((struct caller_connection *)context)->options.http);
}

/* Ignored between exchanges: evhttp reads then and detects the close itself. */
static void on_caller_closed(void *context)
{
	struct caller_connection *connection = context;

	if (connection->phase == PHASE_RESPONDING)
		caller_connection_abort(connection);
}

static void start_reading(struct caller_connection *connection)
{
	connection->phase = PHASE_READING;
	timer_once(connection->timer,
		   connection->options.settings->read_timeout_ms);
}

/*
 * Closes the connection if its incomplete request exceeds the buffer budget. No
 * part of that request has been forwarded to a target yet.
 */
static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *context)
{
	struct caller_connection *connection = context;

	if (info->n_added == 0)
		return;
	if (connection->phase == PHASE_IDLE)
		start_reading(connection);
	connection->charged_bytes += info->n_added;
	if (!buffer_budget_charge(connection->options.budget, info->n_added) &&
	    connection->phase == PHASE_READING)
		schedule_close(connection);
}

static void release_buffers(struct caller_connection *connection)
{
	buffer_budget_release(connection->options.budget,
			      connection->charged_bytes);
	connection->charged_bytes = 0;
}

static void on_closed(struct evhttp_connection *http, void *context)
{
	struct caller_connection *connection = context;

	evhttp_connection_set_closecb(http, NULL, NULL);
	evbuffer_remove_cb(bufferevent_get_input(connection->stream), on_input,
			   connection);
	release_buffers(connection);
	if (connection->on_connection_closed)
		connection->on_connection_closed(connection->exchange_context);
	connection->options.on_closed(connection->options.context, connection);
	caller_watch_free(connection->watch);
	timer_free(connection->timer);
	event_free(connection->close_event);
	g_free(connection);
}

/* Manages a connection that evhttp has just accepted. */
struct caller_connection *
caller_connection_new(const struct caller_connection_options *options)
{
	struct caller_connection *connection =
		g_new0(struct caller_connection, 1);

	connection->options = *options;
	connection->stream = evhttp_connection_get_bufferevent(options->http);
	connection->timer = timer_new(options->task, connection, on_timer);
	connection->close_event = event_new(task_base(options->task), -1, 0,
					    on_close, connection);
	tcp_option_set_no_delay(bufferevent_getfd(connection->stream));
	connection->watch = caller_watch_new(
		task_base(options->task), bufferevent_getfd(connection->stream),
		connection, on_caller_closed);
	evhttp_connection_set_closecb(options->http, on_closed, connection);
	evbuffer_add_cb(bufferevent_get_input(connection->stream), on_input,
			connection);
	timer_once(connection->timer, options->settings->idle_timeout_ms);
	return connection;
}

/*
 * Starts the exchange of a complete request. on_connection_closed is called if
 * the connection closes before caller_connection_end_exchange.
 */
void caller_connection_begin_exchange(
	struct caller_connection *connection, void *exchange_context,
	void (*on_connection_closed)(void *exchange_context))
{
	timer_cancel(connection->timer);
	connection->phase = PHASE_RESPONDING;
	connection->exchange_context = exchange_context;
	connection->on_connection_closed = on_connection_closed;
	if (caller_connection_is_closed(connection))
		caller_connection_abort(connection);
}

/* Returns whether the caller has closed its side. */
bool caller_connection_is_closed(const struct caller_connection *connection)
{
	return caller_watch_is_closed(connection->watch);
}

/* Ends the exchange and starts the idle timeout for the next request. */
void caller_connection_end_exchange(struct caller_connection *connection)
{
	connection->exchange_context = NULL;
	connection->on_connection_closed = NULL;
	connection->phase = PHASE_IDLE;
	release_buffers(connection);
	timer_once(connection->timer,
		   connection->options.settings->idle_timeout_ms);
}

/*
 * Resets the connection, so that the caller does not mistake a partial response
 * for a complete one. connect() to AF_UNSPEC makes the kernel drop queued data
 * and send RST; close() would send FIN first.
 */
void caller_connection_abort(struct caller_connection *connection)
{
	struct sockaddr unspecified = {.sa_family = AF_UNSPEC};
	int result = connect(bufferevent_getfd(connection->stream),
			     &unspecified, sizeof(unspecified));

	(void)result;
	schedule_close(connection);
}

/* Closes the connection unless a request is arriving or in progress. */
void caller_connection_close_idle(struct caller_connection *connection)
{
	if (connection->phase == PHASE_IDLE)
		schedule_close(connection);
}

/* Returns the bufferevent of the connection. */
struct bufferevent *
caller_connection_stream(const struct caller_connection *connection)
{
	return connection->stream;
}
