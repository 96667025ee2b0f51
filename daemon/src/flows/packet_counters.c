#include "packet_counters.h"

struct packet_counters {
	struct counter_row rows[PACKET_COUNTER_COUNT];
	char *names[2 * REASON_COUNT];
	struct counter_set *set;
};

static const struct counter_row fixed_rows[PACKETS_DROPPED] = {
	[PACKETS_RECEIVED] = {"shallot_packets_received_total",
			      "Packets from the fabric and from nodes.",
			      COUNTER_TOTAL},
	[PACKETS_FROM_NODES] = {"shallot_packets_from_nodes_total",
				"Packets that other nodes sent on.",
				COUNTER_TOTAL},
	[PACKETS_STRAY] = {"shallot_packets_stray_total",
			   "Forward headers that no live node sent.",
			   COUNTER_TOTAL},
	[PACKETS_FORWARDED] = {"shallot_packets_forwarded_total",
			       "Packets sent to targets.", COUNTER_TOTAL},
	[PACKETS_TO_NODES] = {"shallot_packets_to_nodes_total",
			      "Packets sent on to other nodes.", COUNTER_TOTAL},
	[PACKETS_NOT_SENT] = {"shallot_packets_not_sent_total",
			      "Packets the kernel did not take.",
			      COUNTER_TOTAL},
	[FLOW_MESSAGES_MALFORMED] = {"shallot_flow_messages_malformed_total",
				     "Flow messages that could not be read.",
				     COUNTER_TOTAL},
	[FLOW_MESSAGES_NOT_POSTED] =
		{"shallot_flow_messages_not_posted_total",
		 "Flow messages the control task had no room for.",
		 COUNTER_TOTAL},
	[FLOW_RECORDS_HELD] = {"shallot_flows",
			       "Flows that this node holds a record of.",
			       COUNTER_GAUGE},
};

static void init_reason_rows(struct packet_counters *counters, uint32_t first,
			     const char *metric, const char *help, char **names)
{
	for (uint32_t i = 0; i < REASON_COUNT; i++) {
		names[i] = g_strdup_printf("%s{reason=\"%s\"}", metric,
					   reason_name((enum reason)i));
		counters->rows[first + i] =
			(struct counter_row){names[i], help, COUNTER_TOTAL};
	}
}

/* Creates the counters. Free them with packet_counters_free. */
struct packet_counters *packet_counters_new(void)
{
	struct packet_counters *counters = g_new0(struct packet_counters, 1);

	for (uint32_t i = 0; i < PACKETS_DROPPED; i++)
		counters->rows[i] = fixed_rows[i];
	init_reason_rows(counters, PACKETS_DROPPED,
			 "shallot_packets_dropped_total",
			 "Packets dropped, by reason.", counters->names);
	init_reason_rows(counters, PACKETS_PLACED,
			 "shallot_packets_placed_total",
			 "Packets sent to targets and nodes, by reason.",
			 counters->names + REASON_COUNT);
	counters->set = counter_set_new(counters->rows, PACKET_COUNTER_COUNT);
	return counters;
}

/* Frees the counters; NULL is allowed. */
void packet_counters_free(struct packet_counters *counters)
{
	if (!counters)
		return;
	counter_set_free(counters->set);
	for (uint32_t i = 0; i < G_N_ELEMENTS(counters->names); i++)
		g_free(counters->names[i]);
	g_free(counters);
}

/* Returns the counter set, which belongs to the counters. */
struct counter_set *packet_counters_set(struct packet_counters *counters)
{
	return counters->set;
}
