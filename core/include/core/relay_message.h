#ifndef CORE_RELAY_MESSAGE_H
#define CORE_RELAY_MESSAGE_H

#include <core/flow_key.h>
#include <core/relay_loads.h>
#include <core/relay_target_report.h>
#include <core/relay_zone_report.h>

#define RELAY_MESSAGE_LOAD_COUNT_MAX 160
#define RELAY_MESSAGE_FLOW_COUNT_MAX 80

/* Maximum number of flows in a message that states a number for each. */
#define RELAY_MESSAGE_NUMBER_COUNT_MAX 64

enum relay_message_kind {
	/* The sender's open flows by target; replaces its previous report. */
	RELAY_MESSAGE_LOADS,
	/* Flows that the sender has taken over from other nodes. */
	RELAY_MESSAGE_MOVED,
	/* What the sender sees of a zone that may be lost. */
	RELAY_MESSAGE_ZONE,
	/* What the sender sees of a target that may be silent. */
	RELAY_MESSAGE_TARGET,
	/* Flows that the sender opened and that another node may have. */
	RELAY_MESSAGE_SOUGHT,
	/* Flows that were sought and that the sender has. */
	RELAY_MESSAGE_FOUND,
	RELAY_MESSAGE_KIND_COUNT,
};

/*
 * A message between nodes that forward packets by tag. node_id is the sender;
 * flows has the flow hashes of RELAY_MESSAGE_MOVED, RELAY_MESSAGE_SOUGHT and
 * RELAY_MESSAGE_FOUND. RELAY_MESSAGE_MOVED may have none: it then only shows
 * that the sender can be reached. numbers has the sequence number of the
 * opening packet of each flow that is sought, and else the tag of its target;
 * nodes of earlier versions state no tags, number_count is 0 then.
 */
struct relay_message {
	enum relay_message_kind kind;
	uint64_t node_id;
	uint32_t load_count;
	uint32_t flow_count;
	struct relay_load loads[RELAY_MESSAGE_LOAD_COUNT_MAX];
	uint32_t number_count;
	struct hash128 flows[RELAY_MESSAGE_FLOW_COUNT_MAX];
	uint32_t numbers[RELAY_MESSAGE_NUMBER_COUNT_MAX];
	struct relay_zone_report zone;
	struct relay_target_report target;
};

#endif
