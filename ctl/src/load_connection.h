#ifndef LOAD_CONNECTION_H
#define LOAD_CONNECTION_H

#include <core/endpoint.h>
#include <ctl/load_class.h>
#include <ctl/load_result.h>
#include <event2/event.h>

/*
 * A caller's connection to a node, with one request at a time. request_ended is
 * called when the request has its response or failed.
 */
struct load_connection;

struct load_connection_options {
	struct event_base *base;
	struct endpoint node;
	uint32_t timeout_ms;
	bool is_echo_checked;
	void *context;
	void (*request_ended)(void *context, struct load_connection *connection,
			      enum load_outcome outcome, uint64_t latency_us);
};

struct load_connection *
load_connection_new(const struct load_connection_options *options);
void load_connection_free(struct load_connection *connection);
bool load_connection_send(struct load_connection *connection,
			  const struct load_class *load_class,
			  uint64_t request_number);
const struct load_class *
load_connection_class(const struct load_connection *connection);

#endif
