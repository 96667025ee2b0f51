#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <core/reason.h>
#include <core/service.h>

enum placement_kind {
	PLACE_DROP,
	PLACE_TO_TARGET,
	PLACE_TO_NODE,
};

/* Destination of one packet or request attempt, and the reason. */
struct placement {
	enum placement_kind kind;
	enum reason reason;
	uint32_t service_id;
	uint64_t target_id;
	uint64_t node_id;
	struct endpoint endpoint;
};

#endif
