#ifndef CALLER_WATCH_H
#define CALLER_WATCH_H

#include <event2/event.h>
#include <stdbool.h>

/*
 * Detects that a caller has closed its connection, also while a request is in
 * progress, when evhttp does not read from the connection. on_closed is
 * called once.
 */
struct caller_watch;

struct caller_watch *caller_watch_new(struct event_base *base,
				      evutil_socket_t fd, void *context,
				      void (*on_closed)(void *context));
bool caller_watch_is_closed(const struct caller_watch *watch);
void caller_watch_free(struct caller_watch *watch);

#endif
