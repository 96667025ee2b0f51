#ifndef RELAY_COUNTERS_H
#define RELAY_COUNTERS_H

#include <core/reason.h>
#include <core/relay_director.h>
#include <core/relay_verdict.h>
#include <task/counter_set.h>

#define RELAY_ACTION_COUNT (RELAY_HOLD + 1)

/*
 * Indexes of the relay task's counters. From RELAY_DECISIONS on there is one
 * counter for each pair of action and reason, at index RELAY_DECISIONS +
 * action * REASON_COUNT + reason.
 */
enum relay_counter {
	RELAY_PACKETS_RECEIVED,
	RELAY_PACKETS_NOT_SENT,
	RELAY_FLOWS,
	RELAY_TARGETS,
	RELAY_CONFIG_VERSION,
	RELAY_AVOIDED,
	RELAY_EVACUATED_ZONES,
	RELAY_COLD_TARGETS,
	RELAY_COLD_OPENINGS,
	RELAY_ZONES_LOST,
	RELAY_ISOLATED,
	RELAY_SILENT_TARGETS,
	RELAY_SHORT_SERVICES,
	RELAY_PEERS,
	RELAY_FLOWS_SOUGHT,
	RELAY_FLOWS_FOUND,
	RELAY_BUSIEST_MILLI,
	RELAY_LOADED_TARGETS,
	RELAY_SLOW_TARGETS,
	RELAY_WORK_US,
	RELAY_PEER_MESSAGES_SENT,
	RELAY_PEER_MESSAGES_RECEIVED,
	RELAY_PEER_MESSAGES_STRAY,
	RELAY_PEER_MESSAGES_MALFORMED,
	RELAY_DECISIONS,
	RELAY_COUNTER_COUNT =
		RELAY_DECISIONS + RELAY_ACTION_COUNT * REASON_COUNT,
};

/*
 * The counters of a relay task. relay_counters_new generates the metric names
 * of the decision counters from the names of actions and reasons.
 */
struct relay_counters;

struct relay_counters *relay_counters_new(void);
void relay_counters_free(struct relay_counters *counters);
struct counter_set *relay_counters_set(struct relay_counters *counters);
void relay_counters_update_gauges(struct relay_counters *counters,
				  struct relay_director *director,
				  int64_t now_ms);
void relay_counters_add_verdict(struct relay_counters *counters,
				const struct relay_verdict *verdict);

#endif
