#include "http_cut.h"

#include <event2/bufferevent.h>
#include <signal.h>
#include <sys/socket.h>

#define STATUS_UNAVAILABLE 503

/*
 * Ends the caller's connection without an answer. The reply, which can no
 * longer be written, lets libevent free the request.
 */
void http_cut(struct evhttp_request *request)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);
	struct bufferevent *stream =
		evhttp_connection_get_bufferevent(connection);

	shutdown(bufferevent_getfd(stream), SHUT_RDWR);
	evhttp_send_reply(request, STATUS_UNAVAILABLE, "cut", NULL);
}

/* Lets the calling task write to a closed connection without a signal. */
void http_cut_prepare(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}
