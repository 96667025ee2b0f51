#ifndef TARGET_CONNECTION_H
#define TARGET_CONNECTION_H

#include <core/endpoint.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>

/* An HTTP connection to a target; it carries one request at a time. */
struct target_connection;

struct target_connection_options {
	struct event_base *base;
	uint64_t target_id;
	struct endpoint endpoint;
	uint32_t header_bytes;
};

struct target_connection *
target_connection_new(const struct target_connection_options *options);
void target_connection_free(struct target_connection *connection);
uint64_t
target_connection_target_id(const struct target_connection *connection);
bool target_connection_send(struct target_connection *connection,
			    struct evhttp_request *request,
			    enum evhttp_cmd_type method, const char *uri);
void target_connection_reset_sent_bytes(struct target_connection *connection);
uint64_t
target_connection_sent_bytes(const struct target_connection *connection);
bool target_connection_is_reusable(const struct target_connection *connection);
void target_connection_pause(struct target_connection *connection,
			     bool is_paused);

#endif
