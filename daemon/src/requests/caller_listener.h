#ifndef CALLER_LISTENER_H
#define CALLER_LISTENER_H

#include "caller_connection.h"

/*
 * An address on which callers connect, and their connections. The service is
 * SERVICE_NONE where the Host header names it.
 */
struct caller_listener;

struct caller_listener_options {
	struct task *task;
	const struct request_settings *settings;
	struct buffer_budget *budget;
	/* Shared by all listeners of the node. */
	uint32_t *connection_count;
	struct endpoint endpoint;
	uint32_t service_id;
	void *context;
	void (*arrived)(void *context, uint32_t service_id,
			struct caller_connection *connection,
			struct evhttp_request *request);
	void (*changed)(void *context);
};

struct caller_listener *
caller_listener_new(const struct caller_listener_options *options,
		    GError **error);
void caller_listener_free(struct caller_listener *listener);
void caller_listener_accept(struct caller_listener *listener, bool is_open);
void caller_listener_leave(struct caller_listener *listener);
void caller_listener_close_idle(struct caller_listener *listener);

#endif
