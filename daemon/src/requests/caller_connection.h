#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include "buffer_budget.h"

#include <daemon/request_settings.h>
#include <event2/http.h>
#include <task/task.h>

/*
 * A caller's connection. Enforces the idle and read timeouts and charges the
 * received bytes to the buffer budget. evhttp owns the socket; when it closes,
 * on_closed is called and the connection frees itself.
 */
struct caller_connection;

struct caller_connection_options {
	struct task *task;
	const struct request_settings *settings;
	struct buffer_budget *budget;
	struct evhttp_connection *http;
	void *context;
	void (*on_closed)(void *context, struct caller_connection *connection);
};

struct caller_connection *
caller_connection_new(const struct caller_connection_options *options);
void caller_connection_begin_exchange(
	struct caller_connection *connection, void *exchange_context,
	void (*on_connection_closed)(void *exchange_context));
bool caller_connection_is_closed(const struct caller_connection *connection);
void caller_connection_end_exchange(struct caller_connection *connection);
void caller_connection_abort(struct caller_connection *connection);
void caller_connection_close_idle(struct caller_connection *connection);
struct bufferevent *
caller_connection_stream(const struct caller_connection *connection);

#endif
