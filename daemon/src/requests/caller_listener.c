#include "caller_listener.h"

#include <daemon/daemon_error.h>
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <wire/sock_addr.h>

#define LISTEN_BACKLOG 1024
/* evhttp's own timeout; the timer of caller_connection expires first. */
#define EVHTTP_TIMEOUT_S 86400
#define ALLOWED_METHODS                                                        \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | \
	 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

struct caller_listener {
	struct caller_listener_options options;
	struct evhttp *http;
	struct evhttp_bound_socket *bound_socket;
	/* Streams that are not yet registered with their evhttp connection. */
	GQueue pending_streams;
	struct event *register_event;
	/* Maps each bufferevent to its struct caller_connection. */
	GHashTable *connections;
};

static void adjust_connection_count(struct caller_listener *listener,
				    int32_t change)
{
	*listener->options.connection_count += (uint32_t)change;
	listener->options.on_connection_count_changed(
		listener->options.context);
}

static void on_closed(void *context, struct caller_connection *connection)
{
	struct caller_listener *listener = context;

	g_hash_table_remove(listener->connections,
			    caller_connection_stream(connection));
	adjust_connection_count(listener, -1);
}

/*
 * Finds the evhttp connection of a stream: evhttp sets it as the context of the
 * stream's callbacks.
 */
static void register_connection(struct caller_listener *listener,
				struct bufferevent *stream)
{
	struct caller_connection_options options = {
		.task = listener->options.task,
		.settings = listener->options.settings,
		.budget = listener->options.budget,
		.context = listener,
		.on_closed = on_closed,
	};
	void *http = NULL;

	bufferevent_getcb(stream, NULL, NULL, NULL, &http);
	if (!http) {
		adjust_connection_count(listener, -1);
		return;
	}
	options.http = http;
	g_hash_table_insert(listener->connections, stream,
			    caller_connection_new(&options));
}

static void on_register(evutil_socket_t fd, short what, void *context)
{
	struct caller_listener *listener = context;
	struct bufferevent *stream;

	while ((stream = g_queue_pop_head(&listener->pending_streams)) !=
	       NULL) {
		/* It was the last reference: evhttp has freed the stream. */
		if (bufferevent_decref(stream))
			adjust_connection_count(listener, -1);
		else
			register_connection(listener, stream);
	}
}

/*
 * evhttp has no callback for a new connection, but calls this function to
 * create its stream. on_register runs before the first byte is read.
 */
static struct bufferevent *make_stream(struct event_base *base, void *context)
{
	struct caller_listener *listener = context;
	struct bufferevent *stream =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

	bufferevent_incref(stream);
	g_queue_push_tail(&listener->pending_streams, stream);
	event_active(listener->register_event, EV_TIMEOUT, 0);
	adjust_connection_count(listener, 1);
	return stream;
}

static void on_request(struct evhttp_request *request, void *context)
{
	struct caller_listener *listener = context;
	struct evhttp_connection *http = evhttp_request_get_connection(request);
	struct caller_connection *connection = g_hash_table_lookup(
		listener->connections, evhttp_connection_get_bufferevent(http));

	listener->options.on_request(listener->options.context,
				     listener->options.service_id, connection,
				     request);
}

static void configure(struct caller_listener *listener)
{
	const struct request_settings *settings = listener->options.settings;

	evhttp_set_gencb(listener->http, on_request, listener);
	evhttp_set_bevcb(listener->http, make_stream, listener);
	evhttp_set_allowed_methods(listener->http, ALLOWED_METHODS);
	evhttp_set_default_content_type(listener->http, NULL);
	evhttp_set_timeout(listener->http, EVHTTP_TIMEOUT_S);
	evhttp_set_max_headers_size(listener->http,
				    (ev_ssize_t)settings->header_bytes);
	evhttp_set_max_body_size(listener->http,
				 (ev_ssize_t)settings->body_bytes);
}

static bool bind_listener(struct caller_listener *listener)
{
	struct sockaddr_storage storage;
	socklen_t length =
		sock_addr_from_endpoint(&storage, &listener->options.endpoint);
	struct evconnlistener *socket_listener = evconnlistener_new_bind(
		task_base(listener->options.task), NULL, NULL,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE,
		LISTEN_BACKLOG, (struct sockaddr *)&storage, (int)length);

	if (!socket_listener)
		return false;
	listener->bound_socket =
		evhttp_bind_listener(listener->http, socket_listener);
	return listener->bound_socket != NULL;
}

/* Listens on the address. Fails with DAEMON_ERROR_START. */
struct caller_listener *
caller_listener_new(const struct caller_listener_options *options,
		    GError **error)
{
	struct caller_listener *listener = g_new0(struct caller_listener, 1);
	char text[ENDPOINT_TEXT_BYTES];

	listener->options = *options;
	g_queue_init(&listener->pending_streams);
	listener->connections = g_hash_table_new(NULL, NULL);
	listener->register_event = event_new(task_base(options->task), -1, 0,
					     on_register, listener);
	listener->http = evhttp_new(task_base(options->task));
	configure(listener);
	if (bind_listener(listener))
		return listener;
	g_set_error(error, DAEMON_ERROR, DAEMON_ERROR_START,
		    "cannot listen for requests on %s: %s",
		    endpoint_format(&options->endpoint, text), strerror(errno));
	caller_listener_free(listener);
	return NULL;
}

/* Closes the listening socket and every connection; NULL is allowed. */
void caller_listener_free(struct caller_listener *listener)
{
	struct bufferevent *stream;

	if (!listener)
		return;
	evhttp_free(listener->http);
	while ((stream = g_queue_pop_head(&listener->pending_streams)) != NULL)
		bufferevent_decref(stream);
	event_free(listener->register_event);
	g_hash_table_destroy(listener->connections);
	g_free(listener);
}

/* Accepts connections, or leaves them in the kernel's accept queue. */
void caller_listener_set_accepting(struct caller_listener *listener,
				   bool is_accepting)
{
	struct evconnlistener *socket_listener;

	if (!listener->bound_socket)
		return;
	socket_listener =
		evhttp_bound_socket_get_listener(listener->bound_socket);
	if (is_accepting)
		evconnlistener_enable(socket_listener);
	else
		evconnlistener_disable(socket_listener);
}

/* Closes the listening socket, so that callers connect to other nodes. */
void caller_listener_close_socket(struct caller_listener *listener)
{
	if (listener->bound_socket)
		evhttp_del_accept_socket(listener->http,
					 listener->bound_socket);
	listener->bound_socket = NULL;
}

/* Closes the idle connections. */
void caller_listener_close_idle(struct caller_listener *listener)
{
	GHashTableIter iter;
	gpointer connection;

	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, NULL, &connection))
		caller_connection_close_idle(connection);
}
