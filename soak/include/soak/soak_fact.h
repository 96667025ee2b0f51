#ifndef SOAK_SOAK_FACT_H
#define SOAK_SOAK_FACT_H

#include <core/endpoint.h>

enum soak_fact_kind {
	SOAK_NODE_DISTURBED,
	SOAK_NODE_CALM,
	/* A new process of a node; what the old one knew is gone. */
	SOAK_NODE_STARTED,
	SOAK_STORE_DISTURBED,
	SOAK_STORE_CALM,
	SOAK_HOST_READY,
	SOAK_HOST_DRAINING,
	SOAK_HOST_GONE,
	SOAK_ROUTE_PRESENT,
	SOAK_ROUTE_REMOVED,
	/* All faults are over for a while, and all must be served again. */
	SOAK_QUIET,
	/* A process broke a promise that no packet shows. */
	SOAK_PROCESS_FAULT,
};

#define SOAK_FACT_TEXT_BYTES 120

/*
 * What was done to the fleet, as the operator of a run knows it. subject is the
 * index of a node or host. Planned work must not cost a request.
 */
struct soak_fact {
	enum soak_fact_kind kind;
	int64_t at_ms;
	uint32_t subject;
	uint32_t service;
	uint32_t version;
	struct endpoint address;
	bool is_planned;
	char text[SOAK_FACT_TEXT_BYTES];
};

#endif
