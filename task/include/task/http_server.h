#ifndef TASK_HTTP_SERVER_H
#define TASK_HTTP_SERVER_H

#include <event2/http.h>

/* Creates libevent's HTTP servers with streams that close their own socket. */
struct evhttp *http_server_new(struct event_base *base);

#endif
