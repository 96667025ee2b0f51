#include <task/udp_socket.h>

#include "receive_stamp.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <task/task_error.h>
#include <time.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define DATAGRAM_BYTES_MAX 65536
#define CONTROL_BYTES CMSG_SPACE(sizeof(struct timespec))
#define NS_PER_S 1000000000
#define NS_PER_MS 1000000

struct udp_socket {
	struct udp_socket_options options;
	struct event *event;
	struct endpoint local;
	int fd;
	struct msghdr header;
	struct receive_stamp stamp;
	int64_t call_ns;
	_Alignas(struct cmsghdr) uint8_t control[CONTROL_BYTES];
	uint8_t bytes[DATAGRAM_BYTES_MAX];
};

static int64_t to_ns(const struct timespec *time)
{
	return (int64_t)time->tv_sec * NS_PER_S + time->tv_nsec;
}

static int64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return to_ns(&now);
}

static bool receive_one(struct udp_socket *udp)
{
	struct sockaddr_storage storage;
	struct iovec vector = {udp->bytes, sizeof(udp->bytes)};
	struct endpoint from;
	ssize_t length;

	udp->header = (struct msghdr){.msg_name = &storage,
				      .msg_namelen = sizeof(storage),
				      .msg_iov = &vector,
				      .msg_iovlen = 1,
				      .msg_control = udp->control,
				      .msg_controllen = sizeof(udp->control)};
	if (!udp->stamp.is_reliable)
		udp->call_ns = now_ns();
	length = recvmsg(udp->fd, &udp->header, 0);
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
		if (receive_one(udp))
			continue;
		if (udp->options.emptied)
			udp->options.emptied(udp->options.context);
		return;
	}
}

static bool bind_socket(struct udp_socket *udp)
{
	struct sockaddr_storage storage;
	socklen_t length =
		sock_addr_from_endpoint(&storage, &udp->options.listen);
	int buffer_bytes = (int)udp->options.buffer_bytes;
	int is_stamped = 1;

	udp->fd = socket(storage.ss_family,
			 SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (udp->fd < 0)
		return false;
	if (buffer_bytes > 0)
		setsockopt(udp->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
			   sizeof(buffer_bytes));
	/* Without it, udp_socket_age_ms returns UDP_AGE_UNKNOWN. */
	setsockopt(udp->fd, SOL_SOCKET, SO_TIMESTAMPNS, &is_stamped,
		   sizeof(is_stamped));
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

/*
 * Returns how many milliseconds ago the datagram that is being received arrived
 * at this machine, or UDP_AGE_UNKNOWN. The time of day, by which the kernel
 * records arrivals, may have been set meanwhile.
 */
int64_t udp_socket_age_ms(struct udp_socket *udp)
{
	struct cmsghdr *part = CMSG_FIRSTHDR(&udp->header);
	struct timespec arrived;

	while (part && (part->cmsg_level != SOL_SOCKET ||
			part->cmsg_type != SCM_TIMESTAMPNS))
		part = CMSG_NXTHDR(&udp->header, part);
	if (!part)
		return UDP_AGE_UNKNOWN;
	memcpy(&arrived, CMSG_DATA(part), sizeof(arrived));
	if (!receive_stamp_check(&udp->stamp, udp->call_ns, to_ns(&arrived)))
		return UDP_AGE_UNKNOWN;
	return (now_ns() - to_ns(&arrived)) / NS_PER_MS;
}

/* Returns the address and port that the socket is bound to. */
struct endpoint udp_socket_local_endpoint(const struct udp_socket *udp)
{
	return udp->local;
}
