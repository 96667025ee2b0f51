#include "caller_watch.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * The descriptor is a duplicate, so that the event can be edge-triggered: a
 * caller that pipelines its next request then wakes the event loop only once.
 */
struct caller_watch {
	struct event *event;
	evutil_socket_t fd;
	void *context;
	void (*on_closed)(void *context);
	bool is_closed;
};

static bool is_at_eof(evutil_socket_t fd)
{
	char byte;
	ssize_t length = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (length < 0)
		return errno != EAGAIN && errno != EINTR;
	return length == 0;
}

static void on_event(evutil_socket_t fd, short what, void *context)
{
	struct caller_watch *watch = context;

	if (watch->is_closed || (!(what & EV_CLOSED) && !is_at_eof(fd)))
		return;
	watch->is_closed = true;
	watch->on_closed(watch->context);
}

/*
 * Watches a connection; on_closed may free the watch. Returns NULL if no
 * descriptor is available; the connection then works without a watch, as
 * caller_watch_is_closed and caller_watch_free accept NULL.
 */
struct caller_watch *caller_watch_new(struct event_base *base,
				      evutil_socket_t fd, void *context,
				      void (*on_closed)(void *context))
{
	struct caller_watch *watch = g_new0(struct caller_watch, 1);

	watch->context = context;
	watch->on_closed = on_closed;
	watch->fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (watch->fd >= 0)
		watch->event =
			event_new(base, watch->fd,
				  EV_READ | EV_CLOSED | EV_ET | EV_PERSIST,
				  on_event, watch);
	if (watch->event && event_add(watch->event, NULL) == 0)
		return watch;
	caller_watch_free(watch);
	return NULL;
}

/* Returns whether the caller has closed the connection; false for NULL. */
bool caller_watch_is_closed(const struct caller_watch *watch)
{
	return watch && watch->is_closed;
}

/* Stops watching; NULL is allowed. */
void caller_watch_free(struct caller_watch *watch)
{
	if (!watch)
		return;
	if (watch->event)
		event_free(watch->event);
	if (watch->fd >= 0)
		close(watch->fd);
	g_free(watch);
}
