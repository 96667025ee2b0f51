#include "control_stream.h"

#include <arpa/inet.h>
#include <daemon/daemon_error.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <wire/rpc_codec.h>
#include <wire/sock_addr.h>

/* The record mark of RFC 5531, section 11: last-fragment bit and length. */
#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT_FLAG 0x80000000U
#define IDLE_TIMEOUT_S 10

struct connection;

struct control_stream {
	struct control_stream_options options;
	struct event_base *base;
	struct evconnlistener *listener;
	GPtrArray *inbound;
	GPtrArray *outbound;
};

struct connection {
	struct control_stream *stream;
	GPtrArray *list;
	struct bufferevent *bev;
};

static void connection_free(gpointer data)
{
	struct connection *connection = data;

	bufferevent_free(connection->bev);
	g_free(connection);
}

static void close_connection(struct connection *connection)
{
	g_ptr_array_remove_fast(connection->list, connection);
}

/*
 * Closes the connection on end of file, error or timeout and drops an
 * incomplete record.
 */
static void on_event(struct bufferevent *bev, short events, void *context)
{
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		close_connection(context);
}

static void on_written(struct bufferevent *bev, void *context)
{
	close_connection(context);
}

static bool read_mark(struct evbuffer *input, uint32_t *length_bytes)
{
	uint32_t mark;

	evbuffer_copyout(input, &mark, sizeof(mark));
	mark = ntohl(mark);
	*length_bytes = mark & ~LAST_FRAGMENT_FLAG;
	return (mark & LAST_FRAGMENT_FLAG) && *length_bytes > 0 &&
	       *length_bytes <= RPC_RECORD_BYTES_MAX;
}

static void on_readable(struct bufferevent *bev, void *context)
{
	struct connection *connection = context;
	struct control_stream *stream = connection->stream;
	struct evbuffer *input = bufferevent_get_input(bev);
	uint32_t length_bytes;

	if (evbuffer_get_length(input) < RECORD_MARK_BYTES)
		return;
	if (!read_mark(input, &length_bytes)) {
		close_connection(connection);
		return;
	}
	if (evbuffer_get_length(input) <
	    RECORD_MARK_BYTES + (size_t)length_bytes)
		return;
	evbuffer_drain(input, RECORD_MARK_BYTES);
	stream->options.receive(stream->options.context,
				evbuffer_pullup(input, length_bytes),
				length_bytes);
	close_connection(connection);
}

static struct connection *add_connection(struct control_stream *stream,
					 GPtrArray *list, evutil_socket_t fd)
{
	struct timeval timeout = {.tv_sec = IDLE_TIMEOUT_S};
	struct connection *connection;
	struct bufferevent *bev;

	bev = bufferevent_socket_new(stream->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!bev)
		return NULL;
	connection = g_new0(struct connection, 1);
	connection->stream = stream;
	connection->list = list;
	connection->bev = bev;
	bufferevent_set_timeouts(bev, &timeout, &timeout);
	g_ptr_array_add(list, connection);
	return connection;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int address_bytes,
		      void *context)
{
	struct control_stream *stream = context;
	struct connection *connection = NULL;

	if (stream->inbound->len < CONNECTION_COUNT_MAX)
		connection = add_connection(stream, stream->inbound, fd);
	if (!connection) {
		evutil_closesocket(fd);
		return;
	}
	bufferevent_setwatermark(connection->bev, EV_READ, 0,
				 RPC_RECORD_BYTES_MAX + RECORD_MARK_BYTES);
	bufferevent_setcb(connection->bev, on_readable, NULL, on_event,
			  connection);
	bufferevent_enable(connection->bev, EV_READ);
}

/*
 * Listens in the task's event loop. Free the stream in the same task with
 * control_stream_free. Fails with DAEMON_ERROR_START.
 */
struct control_stream *
control_stream_new(struct task *task,
		   const struct control_stream_options *options, GError **error)
{
	struct control_stream *stream = g_new0(struct control_stream, 1);
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, &options->listen);
	char text[ENDPOINT_TEXT_BYTES];

	stream->options = *options;
	stream->base = task_base(task);
	stream->inbound = g_ptr_array_new_with_free_func(connection_free);
	stream->outbound = g_ptr_array_new_with_free_func(connection_free);
	stream->listener = evconnlistener_new_bind(
		stream->base, on_accept, stream,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		CONNECTION_COUNT_MAX, (struct sockaddr *)&storage, (int)length);
	if (stream->listener)
		return stream;
	g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_START,
		    "cannot listen for control messages on TCP %s",
		    endpoint_format(&options->listen, text));
	control_stream_free(stream);
	return NULL;
}

/* Closes every connection and frees the stream; NULL is allowed. */
void control_stream_free(struct control_stream *stream)
{
	if (!stream)
		return;
	if (stream->listener)
		evconnlistener_free(stream->listener);
	g_ptr_array_free(stream->inbound, TRUE);
	g_ptr_array_free(stream->outbound, TRUE);
	g_free(stream);
}

/*
 * Sends one record over a new connection. Returns false if too many outbound
 * connections are open or the connection cannot start; later failures to
 * deliver the record are not reported.
 */
bool control_stream_send(struct control_stream *stream,
			 const struct endpoint *to, const uint8_t *bytes,
			 uint32_t length_bytes)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, to);
	uint32_t mark = htonl(LAST_FRAGMENT_FLAG | length_bytes);
	struct connection *connection;

	if (stream->outbound->len == CONNECTION_COUNT_MAX)
		return false;
	connection = add_connection(stream, stream->outbound, -1);
	if (!connection)
		return false;
	bufferevent_setcb(connection->bev, NULL, on_written, on_event,
			  connection);
	bufferevent_write(connection->bev, &mark, sizeof(mark));
	bufferevent_write(connection->bev, bytes, length_bytes);
	bufferevent_enable(connection->bev, EV_WRITE);
	if (bufferevent_socket_connect(connection->bev,
				       (struct sockaddr *)&storage,
				       (int)length) == 0)
		return true;
	close_connection(connection);
	return false;
}
