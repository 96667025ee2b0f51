#ifndef PACKET_COUNTERS_H
#define PACKET_COUNTERS_H

#include <core/reason.h>
#include <task/counter_set.h>

/* Indexes of the packet task's counters. */
enum packet_counter {
	PACKETS_RECEIVED,
	PACKETS_FROM_NODES,
	PACKETS_STRAY,
	PACKETS_FORWARDED,
	PACKETS_TO_NODES,
	PACKETS_NOT_SENT,
	FLOW_MESSAGES_MALFORMED,
	FLOW_MESSAGES_NOT_POSTED,
	FLOW_RECORDS_HELD,
	/* PACKETS_DROPPED and PACKETS_PLACED each have a row per reason. */
	PACKETS_DROPPED,
	PACKETS_PLACED = PACKETS_DROPPED + REASON_COUNT,
	PACKET_COUNTER_COUNT = PACKETS_PLACED + REASON_COUNT,
};

/*
 * The counters of the packet task. packet_counters_new generates the metric
 * names of the rows for reasons.
 */
struct packet_counters;

struct packet_counters *packet_counters_new(void);
void packet_counters_free(struct packet_counters *counters);
struct counter_set *packet_counters_set(struct packet_counters *counters);

#endif
