#ifndef CORE_MEMBER_EVENT_H
#define CORE_MEMBER_EVENT_H

#include <core/node.h>

/* What happened to a node, a zone or this node. */
enum member_event_kind {
	MEMBER_EVENT_JOINED,
	MEMBER_EVENT_SERVING,
	MEMBER_EVENT_LEAVING,
	MEMBER_EVENT_SUSPECTED,
	MEMBER_EVENT_REFUTED,
	MEMBER_EVENT_DIED,
	MEMBER_EVENT_LEFT,
	/* A dead member was removed after dead_retention_ms. */
	MEMBER_EVENT_FORGOTTEN,
	/* A zone was partitioned from this node. */
	MEMBER_EVENT_ZONE_CUT,
	MEMBER_EVENT_ZONE_HEALED,
	/* A zone was partitioned for zone_partition_timeout_ms. */
	MEMBER_EVENT_ZONE_LOST,
	/* This node resumed after a pause. */
	MEMBER_EVENT_WOKE,
	/* Another node declared this node dead. */
	MEMBER_EVENT_DECLARED_DEAD,
	MEMBER_EVENT_KIND_COUNT,
};

/* A change of a node's state, or of a zone's if node_id is NODE_NONE. */
struct member_event {
	enum member_event_kind kind;
	uint32_t zone_id;
	uint64_t node_id;
	uint32_t incarnation;
};

const char *member_event_name(enum member_event_kind kind);

#endif
