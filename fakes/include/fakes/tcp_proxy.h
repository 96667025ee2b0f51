#ifndef FAKES_TCP_PROXY_H
#define FAKES_TCP_PROXY_H

#include <core/endpoint.h>
#include <glib.h>

/* A loopback proxy with faults: a task that passes TCP connections on. */
struct tcp_proxy;

struct tcp_proxy_options {
	struct endpoint listen;
	struct endpoint server;
};

/*
 * Bytes that are cut wait and go on when the cut ends, as with a network that
 * is away for a while. A reset ends all connections, and new ones at once.
 */
struct tcp_proxy_fault {
	uint32_t delay_ms;
	bool is_cut_to_server;
	bool is_cut_to_client;
	bool is_reset;
};

struct tcp_proxy *tcp_proxy_new(const struct tcp_proxy_options *options,
				GError **error);
void tcp_proxy_free(struct tcp_proxy *proxy);
void tcp_proxy_set_fault(struct tcp_proxy *proxy,
			 const struct tcp_proxy_fault *fault);

#endif
