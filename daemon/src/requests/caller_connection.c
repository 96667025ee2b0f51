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
	PHASE_ANSWERING,
};

struct caller_connection {
	struct caller_connection_options options;
	struct bufferevent *stream;
	struct timer *timer;
	struct event *close_event;
	struct caller_watch *watch;
	enum connection_phase phase;
	uint64_t held_bytes;
	/* Whoever answers the current request. */
	void *user;
	void (*gone)(void *user);
};

static void close_soon(struct caller_connection *connection)
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

/* Between answers evhttp reads the end of the connection itself. */
static void on_caller_closed(void *context)
{
	struct caller_connection *connection = context;

	if (connection->phase == PHASE_ANSWERING)
		caller_connection_abort(connection);
}

static void start_reading(struct caller_connection *connection)
{
	connection->phase = PHASE_READING;
	timer_once(connection->timer,
		   connection->options.settings->read_timeout_ms);
}

/* Beyond the budget the connection is closed: its request has not begun. */
static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *context)
{
	struct caller_connection *connection = context;

	if (info->n_added == 0)
		return;
	if (connection->phase == PHASE_IDLE)
		start_reading(connection);
	connection->held_bytes += info->n_added;
	if (!buffer_budget_take(connection->options.budget, info->n_added) &&
	    connection->phase == PHASE_READING)
		close_soon(connection);
}

static void release(struct caller_connection *connection)
{
	buffer_budget_return(connection->options.budget,
			     connection->held_bytes);
	connection->held_bytes = 0;
}

static void on_closed(struct evhttp_connection *http, void *context)
{
	struct caller_connection *connection = context;

	evhttp_connection_set_closecb(http, NULL, NULL);
	evbuffer_remove_cb(bufferevent_get_input(connection->stream), on_input,
			   connection);
	release(connection);
	if (connection->gone)
		connection->gone(connection->user);
	connection->options.closed(connection->options.context, connection);
	caller_watch_free(connection->watch);
	timer_free(connection->timer);
	event_free(connection->close_event);
	g_free(connection);
}

/* Takes charge of a connection that evhttp has just accepted. */
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
	tcp_option_no_delay(bufferevent_getfd(connection->stream));
	connection->watch = caller_watch_new(
		task_base(options->task), bufferevent_getfd(connection->stream),
		connection, on_caller_closed);
	evhttp_connection_set_closecb(options->http, on_closed, connection);
	evbuffer_add_cb(bufferevent_get_input(connection->stream), on_input,
			connection);
	timer_once(connection->timer, options->settings->idle_timeout_ms);
	return connection;
}

/* A request is whole; gone runs if the connection closes before the end. */
void caller_connection_begin(struct caller_connection *connection, void *user,
			     void (*gone)(void *user))
{
	timer_cancel(connection->timer);
	connection->phase = PHASE_ANSWERING;
	connection->user = user;
	connection->gone = gone;
	if (caller_connection_is_closed(connection))
		caller_connection_abort(connection);
}

/* Tells whether the caller has closed its side. */
bool caller_connection_is_closed(const struct caller_connection *connection)
{
	return caller_watch_is_closed(connection->watch);
}

/* The answer is written; the connection may idle or carry the next request. */
void caller_connection_end(struct caller_connection *connection)
{
	connection->user = NULL;
	connection->gone = NULL;
	connection->phase = PHASE_IDLE;
	release(connection);
	timer_once(connection->timer,
		   connection->options.settings->idle_timeout_ms);
}

/*
 * Resets the connection, so that no caller takes what it got for the whole.
 * Connecting to no address makes the kernel send a reset and drop what is
 * queued; a close would send an orderly end first.
 */
void caller_connection_abort(struct caller_connection *connection)
{
	struct sockaddr nowhere = {.sa_family = AF_UNSPEC};
	int result = connect(bufferevent_getfd(connection->stream), &nowhere,
			     sizeof(nowhere));

	(void)result;
	close_soon(connection);
}

/* Closes the connection if no byte of a request has arrived. */
void caller_connection_close_idle(struct caller_connection *connection)
{
	if (connection->phase == PHASE_IDLE)
		close_soon(connection);
}

/* Returns the stream that carries the answers. */
struct bufferevent *
caller_connection_stream(const struct caller_connection *connection)
{
	return connection->stream;
}
