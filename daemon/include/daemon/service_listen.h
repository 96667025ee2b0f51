#ifndef DAEMON_SERVICE_LISTEN_H
#define DAEMON_SERVICE_LISTEN_H

#include <core/endpoint.h>
#include <core/service.h>
#include <glib.h>

/* A listening address dedicated to one service, whatever the Host header. */
struct service_listen {
	char name[SERVICE_NAME_BYTES];
	struct endpoint endpoint;
};

#endif
