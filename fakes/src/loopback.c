#include <fakes/loopback.h>

#include <stdatomic.h>
#include <stdbool.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define LOOPBACK_FIRST 0x7f010000u
#define LOOPBACK_SECOND_FIRST 0x7f800000u
#define LOOPBACK_PID_MASK 0x003fffffu
#define PORT_FIRST 20000

/*
 * Returns an address of 127.0.0.0/8 derived from the process id, so that test
 * programs that run in parallel do not compete for ports.
 */
struct ip_addr loopback_process_addr(void)
{
	uint32_t offset = (uint32_t)getpid() & LOOPBACK_PID_MASK;

	return ip_addr_from_v4(LOOPBACK_FIRST + offset);
}

/*
 * Returns a second address of this process, for a node or caller that uses the
 * same port as another one.
 */
struct ip_addr loopback_second_addr(void)
{
	uint32_t offset = (uint32_t)getpid() & LOOPBACK_PID_MASK;

	return ip_addr_from_v4(LOOPBACK_SECOND_FIRST + offset);
}

/* Returns whether a socket of the given type can be bound to an endpoint. */
static bool can_bind(const struct endpoint *endpoint, int type)
{
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, endpoint);
	int fd = socket(storage.ss_family, type | SOCK_CLOEXEC, 0);
	bool is_free;

	if (fd < 0)
		return false;
	is_free = bind(fd, (struct sockaddr *)&storage, length) == 0;
	close(fd);
	return is_free;
}

/*
 * Finds a port of the process's loopback address that is free for TCP and UDP
 * and was not returned before. The port is 0 if none is left.
 */
struct endpoint loopback_free_endpoint(void)
{
	static atomic_uint next_port = PORT_FIRST;
	struct endpoint endpoint = {.addr = loopback_process_addr()};

	for (;;) {
		uint32_t port = atomic_fetch_add(&next_port, 1);

		endpoint.port = port <= UINT16_MAX ? (uint16_t)port : 0;
		if (endpoint.port == 0)
			return endpoint;
		if (can_bind(&endpoint, SOCK_STREAM) &&
		    can_bind(&endpoint, SOCK_DGRAM))
			return endpoint;
	}
}
