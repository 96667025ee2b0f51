#ifndef CORE_RELAY_ROUTE_H
#define CORE_RELAY_ROUTE_H

#include <core/endpoint.h>

#define RELAY_SHARE_COUNT_MAX 8

/* A service that receives a weighted share of a route's new flows. */
struct relay_share {
	uint32_t service_id;
	uint32_t weight;
};

/* The services that new flows to one address are distributed to. */
struct relay_route {
	struct endpoint address;
	uint32_t share_count;
	struct relay_share shares[RELAY_SHARE_COUNT_MAX];
};

#endif
