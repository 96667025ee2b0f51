#include "target_connection.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <sys/socket.h>
#include <task/tcp_option.h>

/* Limits the size of a response's chunk, as evhttp buffers complete chunks. */
#define INPUT_BYTES_MAX (1024 * 1024)
/* evhttp's own timeout; the timer of target_attempt expires first. */
#define EVHTTP_TIMEOUT_S 86400

struct target_connection {
	uint64_t target_id;
	struct evhttp_connection *http;
	struct bufferevent *stream;
	uint64_t sent_bytes;
};

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *context)
{
	struct target_connection *connection = context;

	connection->sent_bytes += info->n_deleted;
}

/* Creates a connection; target_connection_send opens it. */
struct target_connection *
target_connection_new(const struct target_connection_options *options)
{
	struct target_connection *connection =
		g_new0(struct target_connection, 1);
	char address[IP_ADDR_TEXT_BYTES];

	ip_addr_format(&options->endpoint.addr, address);
	connection->target_id = options->target_id;
	connection->http = evhttp_connection_base_new(
		options->base, NULL, address, options->endpoint.port);
	evhttp_connection_set_timeout(connection->http, EVHTTP_TIMEOUT_S);
	evhttp_connection_set_max_headers_size(
		connection->http, (ev_ssize_t)options->header_bytes);
	connection->stream =
		evhttp_connection_get_bufferevent(connection->http);
	bufferevent_setwatermark(connection->stream, EV_READ, 0,
				 INPUT_BYTES_MAX);
	evbuffer_add_cb(bufferevent_get_output(connection->stream), on_output,
			connection);
	return connection;
}

/* Closes and frees the connection; NULL is allowed. */
void target_connection_free(struct target_connection *connection)
{
	if (!connection)
		return;
	evbuffer_remove_cb(bufferevent_get_output(connection->stream),
			   on_output, connection);
	evhttp_connection_free(connection->http);
	g_free(connection);
}

/* Returns the id of the target. */
uint64_t target_connection_target_id(const struct target_connection *connection)
{
	return connection->target_id;
}

/* Sends a request; evhttp takes ownership of it, also on failure. */
bool target_connection_send(struct target_connection *connection,
			    struct evhttp_request *request,
			    enum evhttp_cmd_type method, const char *uri)
{
	if (evhttp_make_request(connection->http, request, method, uri) != 0)
		return false;
	tcp_option_set_no_delay(bufferevent_getfd(connection->stream));
	return true;
}

/* Resets the count of sent bytes, before a new request. */
void target_connection_reset_sent_bytes(struct target_connection *connection)
{
	connection->sent_bytes = 0;
}

/*
 * Returns the bytes passed to the kernel since
 * target_connection_reset_sent_bytes. Zero proves that the target received
 * nothing of the request; any other number proves nothing.
 */
uint64_t
target_connection_sent_bytes(const struct target_connection *connection)
{
	return connection->sent_bytes;
}

/*
 * Returns whether an idle connection is open and has no unread input.
 * Unsolicited bytes would be parsed as the response to the next request.
 */
bool target_connection_is_reusable(const struct target_connection *connection)
{
	evutil_socket_t fd = bufferevent_getfd(connection->stream);
	char byte;

	if (fd < 0 ||
	    evbuffer_get_length(bufferevent_get_input(connection->stream)) > 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/* Pauses or resumes reading; TCP flow control then pauses the target. */
void target_connection_pause(struct target_connection *connection,
			     bool is_paused)
{
	if (is_paused)
		bufferevent_disable(connection->stream, EV_READ);
	else
		bufferevent_enable(connection->stream, EV_READ);
}
