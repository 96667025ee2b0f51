#ifndef CORE_CONFIG_REPORT_H
#define CORE_CONFIG_REPORT_H

#include <stdint.h>

/*
 * One node's configuration state, as last reported to its zone's reporter.
 * held_line_count is the number of lines that the node holds back (see
 * rules_replica.h).
 */
struct config_report {
	uint64_t node_id;
	uint32_t zone_id;
	uint32_t held_line_count;
	uint64_t revision;
	uint64_t digest;
};

#endif
