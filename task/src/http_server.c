#include <task/http_server.h>

#include <event2/bufferevent.h>

/*
 * A stream that owns its socket closes it after it has removed its events.
 * evhttp's default streams do not own it: evhttp closes the socket, and the
 * events are removed later, from a descriptor that by then may belong to
 * another thread.
 */
static struct bufferevent *make_stream(struct event_base *base, void *unused)
{
	return bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
}

/*
 * Creates a server without a listening socket. Free it with evhttp_free in the
 * task whose event loop it uses.
 */
struct evhttp *http_server_new(struct event_base *base)
{
	struct evhttp *server = evhttp_new(base);

	evhttp_set_bevcb(server, make_stream, NULL);
	return server;
}
