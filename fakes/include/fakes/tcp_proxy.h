#ifndef FAKES_TCP_PROXY_H
#define FAKES_TCP_PROXY_H

#include <core/endpoint.h>
#include <glib.h>

/*
 * A TCP proxy on loopback that injects network faults. It runs as a task of its
 * own.
 */
struct tcp_proxy;

struct tcp_proxy_options {
	struct endpoint listen;
	struct endpoint server;
};

/*
 * A cut direction holds its bytes back and forwards them when the cut ends, as
 * in a temporary network outage. is_reset resets all connections, including new
 * ones.
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
uint64_t tcp_proxy_bytes_to_clients(struct tcp_proxy *proxy);

#endif
