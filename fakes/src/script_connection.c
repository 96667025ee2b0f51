#include "script_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fakes/socket_reset.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define BLOCK_BYTES 65536
#define HEAD_END "\r\n\r\n"
#define HEAD_END_BYTES 4
#define LENGTH_HEADER "\r\nContent-Length:"

struct script_connection {
	struct script_connection_options options;
	struct bufferevent *stream;
	struct event *wait_event;
	/*
	 * The next step to run; NULL before the first request and after the
	 * connection was closed.
	 */
	const struct script_step *step;
	uint64_t remaining_bytes;
	bool is_closing;
};

static const char zero_block[BLOCK_BYTES] = {0};

static void run_script(struct script_connection *connection);

static void close_connection(struct script_connection *connection)
{
	connection->step = NULL;
	connection->options.on_closed(connection->options.context, connection);
}

static void reset_connection(struct script_connection *connection)
{
	socket_reset_on_close(connection->options.fd);
	close_connection(connection);
}

static bool has_output(const struct script_connection *connection)
{
	return evbuffer_get_length(bufferevent_get_output(connection->stream)) >
	       0;
}

static void send_bytes(struct script_connection *connection, const char *bytes,
		       uint64_t length_bytes)
{
	bufferevent_write(connection->stream, bytes, length_bytes);
	connection->options.on_sent(connection->options.context, length_bytes);
}

/* Sends one block; the write callback sends the rest. */
static void send_block(struct script_connection *connection)
{
	uint64_t length_bytes = MIN(connection->remaining_bytes, BLOCK_BYTES);

	connection->remaining_bytes -= length_bytes;
	if (connection->remaining_bytes == 0)
		connection->step++;
	send_bytes(connection, zero_block, length_bytes);
}

static void send_chunk(struct script_connection *connection)
{
	char head[32];
	uint64_t length_bytes = MIN(connection->step->amount, BLOCK_BYTES);

	g_snprintf(head, sizeof(head), "%" G_GINT64_MODIFIER "x\r\n",
		   length_bytes);
	bufferevent_write(connection->stream, head, strlen(head));
	send_bytes(connection, zero_block, length_bytes);
	bufferevent_write(connection->stream, "\r\n", 2);
}

static void start_wait(struct script_connection *connection, uint64_t delay_ms)
{
	struct timeval delay = {
		.tv_sec = (time_t)(delay_ms / MS_PER_S),
		.tv_usec = (suseconds_t)(delay_ms % MS_PER_S * US_PER_MS),
	};

	connection->step++;
	event_add(connection->wait_event, &delay);
}

/* Runs one step. Returns false if the script has to wait or has ended. */
static bool run_step(struct script_connection *connection)
{
	const struct script_step *step = connection->step;

	switch (step->action) {
	case SCRIPT_COUNT_EXECUTION:
		connection->options.on_executed(connection->options.context);
		connection->step++;
		return true;
	case SCRIPT_SEND:
		connection->step++;
		send_bytes(connection, step->text, strlen(step->text));
		return true;
	case SCRIPT_SEND_BYTES:
		if (connection->remaining_bytes == 0)
			connection->remaining_bytes = step->amount;
		send_block(connection);
		return false;
	case SCRIPT_SEND_CHUNKS:
		send_chunk(connection);
		return false;
	case SCRIPT_WAIT:
		start_wait(connection, step->amount);
		return false;
	case SCRIPT_CLOSE:
	case SCRIPT_RESET:
		connection->is_closing = true;
		return false;
	case SCRIPT_HANG:
	case SCRIPT_END:
		return false;
	}
	return false;
}

/* Closes or resets the connection once all output has been written. */
static void close_if_written(struct script_connection *connection)
{
	if (has_output(connection))
		return;
	if (connection->step->action == SCRIPT_RESET)
		reset_connection(connection);
	else
		close_connection(connection);
}

static char *read_request(struct script_connection *connection)
{
	struct evbuffer *input = bufferevent_get_input(connection->stream);
	struct evbuffer_ptr end =
		evbuffer_search(input, HEAD_END, HEAD_END_BYTES, NULL);
	const char *bytes = (const char *)evbuffer_pullup(input, -1);
	const char *length;
	uint64_t total_bytes;
	char *head;

	if (end.pos < 0)
		return NULL;
	head = g_strndup(bytes, (gsize)end.pos + HEAD_END_BYTES);
	length = strstr(head, LENGTH_HEADER);
	total_bytes = strlen(head);
	if (length)
		total_bytes += g_ascii_strtoull(length + strlen(LENGTH_HEADER),
						NULL, 10);
	if (evbuffer_get_length(input) < total_bytes) {
		g_free(head);
		return NULL;
	}
	evbuffer_drain(input, total_bytes);
	return head;
}

static bool start_next_request(struct script_connection *connection)
{
	char *head = read_request(connection);

	if (!head)
		return false;
	connection->step = connection->options.next_script(
		connection->options.context, head);
	g_free(head);
	return true;
}

static bool is_between_requests(const struct script_connection *connection)
{
	return !connection->step || connection->step->action == SCRIPT_END;
}

static void run_script(struct script_connection *connection)
{
	do {
		if (is_between_requests(connection) &&
		    !start_next_request(connection))
			return;
	} while (run_step(connection) || is_between_requests(connection));
	if (connection->is_closing)
		close_if_written(connection);
}

static void on_wait_elapsed(evutil_socket_t fd, short what, void *context)
{
	run_script(context);
}

static void on_read(struct bufferevent *stream, void *context)
{
	struct script_connection *connection = context;

	if (is_between_requests(connection))
		run_script(connection);
}

static void on_write(struct bufferevent *stream, void *context)
{
	struct script_connection *connection = context;

	if (!is_between_requests(connection) &&
	    !event_pending(connection->wait_event, EV_TIMEOUT, NULL))
		run_script(connection);
}

static void on_event(struct bufferevent *stream, short what, void *context)
{
	close_connection(context);
}

/* Serves an accepted connection and takes ownership of its socket. */
struct script_connection *
script_connection_new(const struct script_connection_options *options)
{
	struct script_connection *connection =
		g_new0(struct script_connection, 1);

	connection->options = *options;
	connection->wait_event =
		event_new(options->base, -1, 0, on_wait_elapsed, connection);
	connection->stream = bufferevent_socket_new(options->base, options->fd,
						    BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(connection->stream, on_read, on_write, on_event,
			  connection);
	bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
	return connection;
}

/* Closes and frees the connection. */
void script_connection_free(struct script_connection *connection)
{
	event_free(connection->wait_event);
	bufferevent_free(connection->stream);
	g_free(connection);
}
