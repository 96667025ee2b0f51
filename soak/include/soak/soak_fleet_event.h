#ifndef SOAK_SOAK_FLEET_EVENT_H
#define SOAK_SOAK_FLEET_EVENT_H

#include <core/endpoint.h>

enum soak_fleet_event_kind {
	SOAK_FLEET_EVENT_NODE_DISTURBED,
	SOAK_FLEET_EVENT_NODE_RESTORED,
	/* A new process of the node, without the state of the former one. */
	SOAK_FLEET_EVENT_NODE_STARTED,
	SOAK_FLEET_EVENT_STORE_DISTURBED,
	SOAK_FLEET_EVENT_STORE_RESTORED,
	SOAK_FLEET_EVENT_HOST_READY,
	SOAK_FLEET_EVENT_HOST_DRAINING,
	SOAK_FLEET_EVENT_HOST_STOPPED,
	SOAK_FLEET_EVENT_ROUTE_PRESENT,
	SOAK_FLEET_EVENT_ROUTE_REMOVED,
	/* Faults have been over for some time; requests must succeed again. */
	SOAK_FLEET_EVENT_QUIET_PERIOD,
	/* A process broke a rule that the packets of flows do not show. */
	SOAK_FLEET_EVENT_PROCESS_FAULT,
};

#define SOAK_FLEET_EVENT_TEXT_BYTES 120

/*
 * A change or fault of the fleet, reported by the run that caused or found it.
 * subject is the index of a node or host. No request may fail because of a
 * planned change.
 */
struct soak_fleet_event {
	enum soak_fleet_event_kind kind;
	int64_t at_ms;
	uint32_t subject;
	uint32_t service;
	uint32_t version;
	struct endpoint address;
	bool is_planned;
	char text[SOAK_FLEET_EVENT_TEXT_BYTES];
};

#endif
