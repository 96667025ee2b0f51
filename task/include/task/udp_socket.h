#ifndef TASK_UDP_SOCKET_H
#define TASK_UDP_SOCKET_H

#include <core/endpoint.h>
#include <task/task.h>

/* Maximum number of datagrams read before other events are handled. */
#define UDP_BATCH_COUNT 32

/*
 * A UDP socket owned by one task. receive runs in that task's thread for each
 * datagram; bytes is valid only during the call. buffer_bytes is the size of
 * the receive buffer, 0 for the default.
 */
struct udp_socket;

struct udp_socket_options {
	struct endpoint listen;
	uint32_t buffer_bytes;
	void *context;
	void (*receive)(void *context, const struct endpoint *from,
			const uint8_t *bytes, uint32_t length_bytes);
};

struct udp_socket *udp_socket_new(struct task *task,
				  const struct udp_socket_options *options,
				  GError **error);
void udp_socket_free(struct udp_socket *udp);
bool udp_socket_send(struct udp_socket *udp, const struct endpoint *to,
		     const uint8_t *bytes, uint32_t length_bytes);
struct endpoint udp_socket_local_endpoint(const struct udp_socket *udp);

#endif
