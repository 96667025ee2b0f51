#ifndef PROXY_CONNECTION_H
#define PROXY_CONNECTION_H

#include <fakes/tcp_proxy.h>
#include <task/task.h>

/*
 * A client connection and its server connection. Used in the proxy's task only.
 * on_closed is called when the connection should be freed, on_sent_to_client
 * when bytes of the server are forwarded.
 */
struct proxy_connection;

struct proxy_connection_options {
	struct task *task;
	evutil_socket_t client_fd;
	struct endpoint server;
	const struct tcp_proxy_fault *fault;
	void *context;
	void (*on_closed)(void *context, struct proxy_connection *connection);
	void (*on_sent_to_client)(void *context, size_t length_bytes);
};

struct proxy_connection *
proxy_connection_new(const struct proxy_connection_options *options);
void proxy_connection_free(struct proxy_connection *connection);
void proxy_connection_apply_fault(struct proxy_connection *connection);

#endif
