#ifndef CORE_RELAY_ZONE_REPORT_H
#define CORE_RELAY_ZONE_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#define RELAY_ZONE_STALL_MAX 8

/*
 * What a node tells the other nodes of its zone about another zone. tags
 * identify targets there that leave callers' packets unanswered, while the node
 * has no sign of life from the zone. is_alive: the node has such a sign, so the
 * reports of the others are void.
 */
struct relay_zone_report {
	uint32_t zone_id;
	bool is_alive;
	uint32_t tag_count;
	uint32_t tags[RELAY_ZONE_STALL_MAX];
};

#endif
