#ifndef SOAK_SOAK_FLEET_EVENT_H
#define SOAK_SOAK_FLEET_EVENT_H

#include <core/endpoint.h>

enum soak_fleet_event_kind {
	SOAK_FLEET_EVENT_NODE_DISTURBED,
	SOAK_FLEET_EVENT_NODE_RESTORED,
	/* A new process of the node, without the state of the previous one. */
	SOAK_FLEET_EVENT_NODE_STARTED,
	SOAK_FLEET_EVENT_STORE_DISTURBED,
	SOAK_FLEET_EVENT_STORE_RESTORED,
	SOAK_FLEET_EVENT_HOST_READY,
	SOAK_FLEET_EVENT_HOST_DRAINING,
	SOAK_FLEET_EVENT_HOST_STOPPED,
	/* New flows must no longer, or may again, reach hosts of the zone. */
	SOAK_FLEET_EVENT_ZONE_EVACUATED,
	SOAK_FLEET_EVENT_ZONE_RESTORED,
	SOAK_FLEET_EVENT_ROUTE_PRESENT,
	SOAK_FLEET_EVENT_ROUTE_REMOVED,
	/*
	 * The quiet period starts, as the recovery time after the last fault
	 * has passed.
	 */
	SOAK_FLEET_EVENT_QUIET_PERIOD,
	/* A late or unexpected exit, a failed start or excessive usage. */
	SOAK_FLEET_EVENT_PROCESS_FAULT,
};

#define SOAK_FLEET_EVENT_TEXT_BYTES 120

/*
 * A change or fault of the fleet, posted to the checker. subject is the index
 * of a node or host; service is set for hosts and routes, zone for hosts and
 * zones; address and version are those of a route and of the configuration with
 * its change; text describes a process fault. No request may fail because of a
 * planned change.
 */
struct soak_fleet_event {
	enum soak_fleet_event_kind kind;
	int64_t at_ms;
	uint32_t subject;
	uint32_t service;
	uint32_t zone;
	uint32_t version;
	struct endpoint address;
	bool is_planned;
	char text[SOAK_FLEET_EVENT_TEXT_BYTES];
};

#endif
