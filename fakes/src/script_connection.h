#ifndef SCRIPT_CONNECTION_H
#define SCRIPT_CONNECTION_H

#include <event2/event.h>
#include <fakes/script_step.h>
#include <stdbool.h>

/* A client's connection to a scripted target. */
struct script_connection;

/*
 * next_script is called once for each request with the request's head,
 * on_executed by SCRIPT_COUNT_EXECUTION, on_sent for each block of response
 * bytes. on_closed is called when the connection should be freed.
 */
struct script_connection_options {
	struct event_base *base;
	evutil_socket_t fd;
	void *context;
	const struct script_step *(*next_script)(void *context,
						 const char *head);
	void (*on_executed)(void *context);
	void (*on_sent)(void *context, uint64_t length_bytes);
	void (*on_closed)(void *context, struct script_connection *connection);
};

struct script_connection *
script_connection_new(const struct script_connection_options *options);
void script_connection_free(struct script_connection *connection);

#endif
