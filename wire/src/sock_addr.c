#include <wire/sock_addr.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

/* Converts an endpoint to a socket address. Returns its length in bytes. */
socklen_t sock_addr_from_endpoint(struct sockaddr_storage *storage,
				  const struct endpoint *endpoint)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (endpoint->addr.is_v6) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(endpoint->port);
		memcpy(&v6->sin6_addr, endpoint->addr.bytes, IP_ADDR_BYTES);
		return sizeof(*v6);
	}
	v4->sin_family = AF_INET;
	v4->sin_port = htons(endpoint->port);
	memcpy(&v4->sin_addr, endpoint->addr.bytes, sizeof(v4->sin_addr));
	return sizeof(*v4);
}

/*
 * Converts a socket address to an endpoint. Returns false if the address is
 * neither IPv4 nor IPv6.
 */
bool sock_addr_to_endpoint(struct endpoint *endpoint,
			   const struct sockaddr_storage *storage)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)storage;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)storage;

	memset(endpoint, 0, sizeof(*endpoint));
	if (storage->ss_family == AF_INET) {
		endpoint->port = ntohs(v4->sin_port);
		memcpy(endpoint->addr.bytes, &v4->sin_addr,
		       sizeof(v4->sin_addr));
		return true;
	}
	if (storage->ss_family != AF_INET6)
		return false;
	endpoint->addr.is_v6 = 1;
	endpoint->port = ntohs(v6->sin6_port);
	memcpy(endpoint->addr.bytes, &v6->sin6_addr, IP_ADDR_BYTES);
	return true;
}
