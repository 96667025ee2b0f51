#ifndef CALLER_LISTENER_H
#define CALLER_LISTENER_H

#include "caller_connection.h"

/*
 * A listening socket for callers, and their connections. With service_id
 * SERVICE_NONE, the Host header names the service of a request.
 */
struct caller_listener;

struct caller_listener_options {
	struct task *task;
	const struct request_settings *settings;
	struct buffer_budget *budget;
	/* Open connections of all listeners of the node. */
	uint32_t *connection_count;
	struct endpoint endpoint;
	uint32_t service_id;
	void *context;
	void (*on_request)(void *context, uint32_t service_id,
			   struct caller_connection *connection,
			   struct evhttp_request *request);
	void (*on_connection_count_changed)(void *context);
};

struct caller_listener *
caller_listener_new(const struct caller_listener_options *options,
		    GError **error);
void caller_listener_free(struct caller_listener *listener);
void caller_listener_set_accepting(struct caller_listener *listener,
				   bool is_accepting);
void caller_listener_close_socket(struct caller_listener *listener);
void caller_listener_close_idle(struct caller_listener *listener);

#endif
