#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include "buffer_budget.h"

#include <daemon/request_settings.h>
#include <event2/http.h>
#include <task/task.h>

/*
 * A caller's connection: how long it may idle, how long a request may take to
 * arrive, and how many bytes of it are held. evhttp owns the socket; closed
 * runs when it goes, and the connection is freed behind it.
 */
struct caller_connection;

struct caller_connection_options {
	struct task *task;
	const struct request_settings *settings;
	struct buffer_budget *budget;
	struct evhttp_connection *http;
	void *context;
	void (*closed)(void *context, struct caller_connection *connection);
};

struct caller_connection *
caller_connection_new(const struct caller_connection_options *options);
void caller_connection_begin(struct caller_connection *connection, void *user,
			     void (*gone)(void *user));
bool caller_connection_is_closed(const struct caller_connection *connection);
void caller_connection_end(struct caller_connection *connection);
void caller_connection_abort(struct caller_connection *connection);
void caller_connection_close_idle(struct caller_connection *connection);
struct bufferevent *
caller_connection_stream(const struct caller_connection *connection);

#endif
