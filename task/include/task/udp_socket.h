#ifndef TASK_UDP_SOCKET_H
#define TASK_UDP_SOCKET_H

#include <core/endpoint.h>
#include <task/task.h>

/* Maximum number of datagrams read before other events are handled. */
#define UDP_BATCH_COUNT 32

/* The kernel did not say, or did not yet record, when a datagram arrived. */
#define UDP_AGE_UNKNOWN (-1)

/*
 * A UDP socket owned by one task. receive runs in that task's thread for each
 * datagram; bytes is valid only during the call. buffer_bytes is the size of
 * the receive buffer, 0 for the default. emptied, which may be NULL, runs when
 * all datagrams that had arrived have been read.
 */
struct udp_socket;

struct udp_socket_options {
	struct endpoint listen;
	uint32_t buffer_bytes;
	void *context;
	void (*receive)(void *context, const struct endpoint *from,
			const uint8_t *bytes, uint32_t length_bytes);
	void (*emptied)(void *context);
};

struct udp_socket *udp_socket_new(struct task *task,
				  const struct udp_socket_options *options,
				  GError **error);
void udp_socket_free(struct udp_socket *udp);
bool udp_socket_send(struct udp_socket *udp, const struct endpoint *to,
		     const uint8_t *bytes, uint32_t length_bytes);
int64_t udp_socket_age_ms(struct udp_socket *udp);
struct endpoint udp_socket_local_endpoint(const struct udp_socket *udp);

#endif
