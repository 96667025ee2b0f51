#ifndef DAEMON_RELAY_SETTINGS_H
#define DAEMON_RELAY_SETTINGS_H

#include <core/endpoint.h>

/* How later packets of a flow reach the target selected for the first one. */
enum delivery_mode {
	/* Home nodes store a record of each flow. */
	DELIVERY_BY_HOME,
	/* Callers echo the tag of their target in each packet. */
	DELIVERY_BY_TAG,
};

/*
 * Settings of a node that forwards by tag. listen_peers is the address for
 * messages from other nodes; its port is the same on all nodes. seeds is a list
 * of addresses of nodes to read from until the list of nodes is known; their
 * ports are ignored. reuse_after_ms is how long after the end of a flow or a
 * target its address may be used again. A cold target may get its rate by
 * warmup_factor_milli / 1000 plus warmup_burst_milli / 1000 opening packets in
 * any second.
 */
struct relay_settings {
	enum delivery_mode mode;
	struct endpoint listen_peers;
	char *seeds;
	uint32_t link_mbps;
	uint32_t reuse_after_ms;
	uint32_t warmup_factor_milli;
	uint32_t warmup_burst_milli;
};

#endif
