#ifndef DAEMON_RELAY_SETTINGS_H
#define DAEMON_RELAY_SETTINGS_H

#include <core/endpoint.h>

/* How packets find their target again. */
enum delivery_mode {
	/* Nodes keep records of flows at home nodes. */
	DELIVERY_BY_HOME,
	/* Packets bring back the tag of their target. */
	DELIVERY_BY_TAG,
};

/*
 * Settings of a node that forwards by tag. Nodes talk to each other on
 * listen_peers, whose port is the same on all; seeds are addresses of nodes,
 * of which the port does not count.
 */
struct relay_settings {
	enum delivery_mode mode;
	struct endpoint listen_peers;
	char *seeds;
	uint32_t link_mbps;
};

#endif
