#include "proxy_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fakes/socket_reset.h>
#include <task/timer.h>
#include <wire/sock_addr.h>

/*
 * One direction through the proxy. Delayed or blocked bytes stay in the input
 * buffer of from.
 */
struct proxy_direction {
	struct proxy_connection *connection;
	struct bufferevent *from;
	struct bufferevent *to;
	struct timer *timer;
	bool is_delayed;
	/*
	 * The sender has closed; the connection ends once the remaining bytes
	 * are sent.
	 */
	bool is_eof;
};

struct proxy_connection {
	struct proxy_connection_options options;
	struct bufferevent *client;
	struct bufferevent *server;
	struct proxy_direction to_server;
	struct proxy_direction to_client;
};

static void report_sent(const struct proxy_direction *direction)
{
	const struct proxy_connection_options *options =
		&direction->connection->options;
	struct evbuffer *input = bufferevent_get_input(direction->from);

	if (direction == &direction->connection->to_client)
		options->on_sent_to_client(options->context,
					   evbuffer_get_length(input));
}

static bool is_cut(const struct proxy_direction *direction)
{
	const struct tcp_proxy_fault *fault =
		direction->connection->options.fault;

	return direction == &direction->connection->to_server
		       ? fault->is_cut_to_server
		       : fault->is_cut_to_client;
}

/*
 * Closes the connection if the sender has closed and no bytes are left to send.
 * Returns whether the connection was closed.
 */
static bool close_if_sent(struct proxy_direction *direction)
{
	struct proxy_connection *connection = direction->connection;

	if (!direction->is_eof || direction->is_delayed ||
	    evbuffer_get_length(bufferevent_get_input(direction->from)) > 0 ||
	    evbuffer_get_length(bufferevent_get_output(direction->to)) > 0)
		return false;
	connection->options.on_closed(connection->options.context, connection);
	return true;
}

/*
 * Forwards the buffered bytes unless the direction is cut. Returns whether the
 * connection was closed.
 */
static bool forward_input(struct proxy_direction *direction)
{
	if (is_cut(direction))
		return false;
	report_sent(direction);
	bufferevent_write_buffer(direction->to,
				 bufferevent_get_input(direction->from));
	return close_if_sent(direction);
}

static void on_write(struct bufferevent *bufferevent, void *context)
{
	struct proxy_direction *direction = context;
	struct proxy_connection *connection = direction->connection;

	close_if_sent(direction == &connection->to_server
			      ? &connection->to_client
			      : &connection->to_server);
}

static void on_delay_elapsed(void *context)
{
	struct proxy_direction *direction = context;

	direction->is_delayed = false;
	forward_input(direction);
}

static void on_read(struct bufferevent *bufferevent, void *context)
{
	struct proxy_direction *direction = context;
	uint32_t delay_ms = direction->connection->options.fault->delay_ms;

	if (delay_ms == 0 && !direction->is_delayed) {
		forward_input(direction);
		return;
	}
	if (direction->is_delayed)
		return;
	direction->is_delayed = true;
	timer_once(direction->timer, delay_ms);
}

static void on_event(struct bufferevent *bufferevent, short what, void *context)
{
	struct proxy_direction *direction = context;
	struct proxy_connection *connection = direction->connection;

	if (what & BEV_EVENT_ERROR) {
		connection->options.on_closed(connection->options.context,
					      connection);
	} else if (what & BEV_EVENT_EOF) {
		direction->is_eof = true;
		if (!direction->is_delayed)
			forward_input(direction);
	}
}

static void init_direction(struct proxy_direction *direction,
			   struct proxy_connection *connection,
			   struct bufferevent *from, struct bufferevent *to)
{
	direction->connection = connection;
	direction->from = from;
	direction->to = to;
	direction->timer = timer_new(connection->options.task, direction,
				     on_delay_elapsed);
	bufferevent_setcb(from, on_read, on_write, on_event, direction);
	bufferevent_enable(from, EV_READ | EV_WRITE);
}

/* Takes ownership of a client's socket and connects to the server. */
struct proxy_connection *
proxy_connection_new(const struct proxy_connection_options *options)
{
	struct proxy_connection *connection =
		g_new0(struct proxy_connection, 1);
	struct event_base *base = task_base(options->task);
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, &options->server);

	connection->options = *options;
	connection->client = bufferevent_socket_new(base, options->client_fd,
						    BEV_OPT_CLOSE_ON_FREE);
	connection->server =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	init_direction(&connection->to_server, connection, connection->client,
		       connection->server);
	init_direction(&connection->to_client, connection, connection->server,
		       connection->client);
	bufferevent_socket_connect(connection->server,
				   (struct sockaddr *)&storage, (int)length);
	return connection;
}

/*
 * Closes and frees both connections. If the fault has is_reset set, the
 * client's connection is reset.
 */
void proxy_connection_free(struct proxy_connection *connection)
{
	if (connection->options.fault->is_reset)
		socket_reset_on_close(bufferevent_getfd(connection->client));
	timer_free(connection->to_server.timer);
	timer_free(connection->to_client.timer);
	bufferevent_free(connection->client);
	bufferevent_free(connection->server);
	g_free(connection);
}

/*
 * Forwards the bytes that a cut held back, after the fault has changed. May
 * close the connection.
 */
void proxy_connection_apply_fault(struct proxy_connection *connection)
{
	if (!connection->to_server.is_delayed &&
	    forward_input(&connection->to_server))
		return;
	if (!connection->to_client.is_delayed)
		forward_input(&connection->to_client);
}
