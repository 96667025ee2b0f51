#ifndef DAEMON_SERVICE_LISTEN_H
#define DAEMON_SERVICE_LISTEN_H

#include <core/endpoint.h>
#include <core/service.h>
#include <glib.h>

/* An address on which every request is for one service. */
struct service_listen {
	char name[SERVICE_NAME_BYTES];
	struct endpoint endpoint;
};

#endif
