#include "http_abort.h"

#include <event2/bufferevent.h>
#include <signal.h>
#include <sys/socket.h>

#define STATUS_UNAVAILABLE 503

/*
 * Closes a request's connection without a response. Sending a reply after that
 * writes nothing, but makes libevent free the request.
 */
void http_abort(struct evhttp_request *request)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(request);
	struct bufferevent *stream =
		evhttp_connection_get_bufferevent(connection);

	shutdown(bufferevent_getfd(stream), SHUT_RDWR);
	evhttp_send_reply(request, STATUS_UNAVAILABLE, "cut", NULL);
}

/*
 * Blocks SIGPIPE in the calling task's thread, so that it may write to a closed
 * connection.
 */
void http_abort_block_sigpipe(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}
