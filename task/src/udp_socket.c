#include <task/udp_socket.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <task/task_error.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define DATAGRAM_BYTES_MAX 65536

struct udp_socket {
	struct udp_socket_options options;
	struct event *event;
	struct endpoint local;
	int fd;
	uint8_t bytes[DATAGRAM_BYTES_MAX];
};

static bool receive_one(struct udp_socket *udp)
{
	struct sockaddr_storage storage;
	socklen_t storage_bytes = sizeof(storage);
	struct endpoint from;
	ssize_t length = recvfrom(udp->fd, udp->bytes, sizeof(udp->bytes), 0,
				  (struct sockaddr *)&storage, &storage_bytes);

	if (length < 0)
		return false;
	if (sock_addr_to_endpoint(&from, &storage))
		udp->options.receive(udp->options.context, &from, udp->bytes,
				     (uint32_t)length);
	return true;
}

/* Reads a bounded batch, so that a flood does not starve other events. */
static void on_readable(evutil_socket_t fd, short what, void *context)
{
	struct udp_socket *udp = context;

	for (uint32_t i = 0; i < UDP_BATCH_COUNT; i++) {
		if (!receive_one(udp))
			return;
	}
}

static bool bind_socket(struct udp_socket *udp)
{
	struct sockaddr_storage storage;
	socklen_t length =
		sock_addr_from_endpoint(&storage, &udp->options.listen);
	int buffer_bytes = (int)udp->options.buffer_bytes;

	udp->fd = socket(storage.ss_family,
			 SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (udp->fd < 0)
		return false;
	if (buffer_bytes > 0)
		setsockopt(udp->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
			   sizeof(buffer_bytes));
	if (bind(udp->fd, (struct sockaddr *)&storage, length) < 0)
		return false;
	length = sizeof(storage);
	if (getsockname(udp->fd, (struct sockaddr *)&storage, &length) < 0)
		return false;
	return sock_addr_to_endpoint(&udp->local, &storage);
}

/*
 * Creates and binds a socket and adds it to the task's event loop. Port 0 binds
 * to any free port. Free the socket with udp_socket_free in the same task.
 * Fails with TASK_ERROR_SOCKET.
 */
struct udp_socket *udp_socket_new(struct task *task,
				  const struct udp_socket_options *options,
				  GError **error)
{
	struct udp_socket *udp = g_new0(struct udp_socket, 1);
	char text[ENDPOINT_TEXT_BYTES];

	udp->options = *options;
	udp->fd = -1;
	if (bind_socket(udp)) {
		udp->event = event_new(task_base(task), udp->fd,
				       EV_READ | EV_PERSIST, on_readable, udp);
		if (udp->event && event_add(udp->event, NULL) == 0)
			return udp;
	}
	g_set_error(error, TASK_ERROR, TASK_ERROR_SOCKET,
		    "cannot bind UDP socket to %s: %s",
		    endpoint_format(&options->listen, text), strerror(errno));
	udp_socket_free(udp);
	return NULL;
}

/* Closes and frees the socket; NULL is allowed. */
void udp_socket_free(struct udp_socket *udp)
{
	if (!udp)
		return;
	if (udp->event)
		event_free(udp->event);
	if (udp->fd >= 0)
		close(udp->fd);
	g_free(udp);
}

/* Sends a datagram. Returns false if the kernel did not accept it. */
bool udp_socket_send(struct udp_socket *udp, const struct endpoint *to,
		     const uint8_t *bytes, uint32_t length_bytes)
{
	struct sockaddr_storage storage;
	socklen_t storage_bytes = sock_addr_from_endpoint(&storage, to);

	return sendto(udp->fd, bytes, length_bytes, 0,
		      (struct sockaddr *)&storage,
		      storage_bytes) == (ssize_t)length_bytes;
}

/* Returns the address and port that the socket is bound to. */
struct endpoint udp_socket_local_endpoint(const struct udp_socket *udp)
{
	return udp->local;
}
