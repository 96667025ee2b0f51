#ifndef PROXY_PAIR_H
#define PROXY_PAIR_H

#include <fakes/tcp_proxy.h>
#include <task/task.h>

/* One connection through a proxy; it belongs to the proxy's task. */
struct proxy_pair;

struct proxy_pair_options {
	struct task *task;
	evutil_socket_t client_fd;
	struct endpoint server;
	const struct tcp_proxy_fault *fault;
	void *context;
	void (*ended)(void *context, struct proxy_pair *pair);
};

struct proxy_pair *proxy_pair_new(const struct proxy_pair_options *options);
void proxy_pair_free(struct proxy_pair *pair);
void proxy_pair_fault_changed(struct proxy_pair *pair);

#endif
