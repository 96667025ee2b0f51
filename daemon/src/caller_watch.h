#ifndef CALLER_WATCH_H
#define CALLER_WATCH_H

#include <event2/event.h>

/*
 * Notices that a caller closed its connection while its request is worked on;
 * evhttp does not read from the connection in that time.
 */
struct caller_watch;

struct caller_watch *caller_watch_new(struct event_base *base,
				      evutil_socket_t fd, void *context,
				      void (*gone)(void *context));
void caller_watch_free(struct caller_watch *watch);

#endif
