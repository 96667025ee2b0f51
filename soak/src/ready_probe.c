#include "ready_probe.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define SOCKET_TIMEOUT_MS 500
#define US_PER_MS 1000
#define RESPONSE_BYTES 64

static int connect_to(const struct endpoint *admin)
{
	struct timeval timeout = {.tv_usec = SOCKET_TIMEOUT_MS * US_PER_MS};
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, admin);
	int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&storage, length) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Requests /readyz of a node once; each call may take SOCKET_TIMEOUT_MS. */
bool ready_probe(const struct endpoint *admin)
{
	static const char request[] = "GET /readyz HTTP/1.1\r\nHost: soak\r\n"
				      "Connection: close\r\n\r\n";
	char response[RESPONSE_BYTES] = "";
	int fd = connect_to(admin);
	ssize_t length_bytes = -1;

	if (fd < 0)
		return false;
	if (send(fd, request, strlen(request), MSG_NOSIGNAL) > 0)
		length_bytes = recv(fd, response, sizeof(response) - 1, 0);
	close(fd);
	return length_bytes > 0 && g_str_has_prefix(response, "HTTP/1.1 200");
}
