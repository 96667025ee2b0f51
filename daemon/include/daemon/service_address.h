#ifndef DAEMON_SERVICE_ADDRESS_H
#define DAEMON_SERVICE_ADDRESS_H

#include <core/endpoint.h>
#include <core/service.h>
#include <glib.h>

/*
 * A listening address dedicated to one service; the Host header of its requests
 * does not select the service.
 */
struct service_address {
	char name[SERVICE_NAME_BYTES];
	struct endpoint endpoint;
};

#endif
