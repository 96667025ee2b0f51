#ifndef CORE_RELAY_ROUTE_H
#define CORE_RELAY_ROUTE_H

#include <core/endpoint.h>

/* Maximum sum of the weights of a route's shares. */
#define RELAY_SHARE_WEIGHT_MAX 1000000000

/* A service that receives a weighted share of a route's new flows. */
struct relay_share {
	uint32_t service_id;
	uint32_t weight;
};

/* Whether a request may be run twice, and what it mainly consists of. */
enum relay_route_kind {
	/* Must not be run twice; also the kind of a route that names none. */
	RELAY_ROUTE_UNSAFE,
	RELAY_ROUTE_SAFE,
	/* Safe, with a long response. */
	RELAY_ROUTE_DOWNLOAD,
	RELAY_ROUTE_KIND_COUNT,
};

/*
 * The services that new flows to one address are distributed to, and the class
 * of the requests that they carry. timeout_ms is how long a request may take,
 * objective_ms its latency objective; each is 0 if the configuration does not
 * state it. priority 0 is the highest. shares are share_count services; who
 * made the route owns them.
 */
struct relay_route {
	struct endpoint address;
	enum relay_route_kind kind;
	uint32_t timeout_ms;
	uint32_t objective_ms;
	uint32_t priority;
	uint32_t share_count;
	const struct relay_share *shares;
};

bool relay_route_leads_to(const struct relay_route *route, uint32_t service_id);

#endif
