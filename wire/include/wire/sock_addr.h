#ifndef WIRE_SOCK_ADDR_H
#define WIRE_SOCK_ADDR_H

#include <core/endpoint.h>
#include <stdbool.h>
#include <sys/socket.h>

socklen_t sock_addr_from_endpoint(struct sockaddr_storage *storage,
				  const struct endpoint *endpoint);
bool sock_addr_to_endpoint(struct endpoint *endpoint,
			   const struct sockaddr_storage *storage);

#endif
