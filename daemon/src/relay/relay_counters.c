#include "relay_counters.h"

static const struct counter_row fixed_rows[RELAY_DECISIONS] = {
	[RELAY_PACKETS_RECEIVED] = {"shallot_relay_packets_total",
				    "packets received from callers",
				    COUNTER_TOTAL},
	[RELAY_PACKETS_NOT_SENT] = {"shallot_relay_not_sent_total",
				    "packets that the kernel did not take",
				    COUNTER_TOTAL},
	[RELAY_FLOWS] = {"shallot_relay_flows", "flows remembered",
			 COUNTER_GAUGE},
	[RELAY_TARGETS] = {"shallot_relay_targets",
			   "targets known, those just gone included",
			   COUNTER_GAUGE},
	[RELAY_CONFIG_VERSION] = {"shallot_relay_config_version",
				  "version of the configuration in force",
				  COUNTER_GAUGE},
	[RELAY_AVOIDED] = {"shallot_relay_avoided_total",
			   "times that a target or zone was avoided",
			   COUNTER_TOTAL},
	[RELAY_EVACUATED_ZONES] = {"shallot_relay_evacuated_zones",
				   "zones whose targets get no new flow",
				   COUNTER_GAUGE},
	[RELAY_COLD_TARGETS] = {"shallot_relay_cold_targets",
				"targets whose rate is limited by their "
				"warm-up",
				COUNTER_GAUGE},
	[RELAY_COLD_OPENINGS] = {"shallot_relay_cold_openings_total",
				 "opening packets sent to such targets",
				 COUNTER_TOTAL},
	[RELAY_ZONES_LOST] = {"shallot_relay_zones_lost",
			      "zones that this node takes for cut off",
			      COUNTER_GAUGE},
	[RELAY_ISOLATED] = {"shallot_relay_isolated",
			    "1 while this node can serve no new flow as its "
			    "zone is evacuated and cut off",
			    COUNTER_GAUGE},
	[RELAY_SILENT_TARGETS] = {"shallot_relay_silent_targets",
				  "targets that this node takes for silent",
				  COUNTER_GAUGE},
	[RELAY_SHORT_SERVICES] = {"shallot_relay_short_services",
				  "services with less room than their "
				  "requests need",
				  COUNTER_GAUGE},
	[RELAY_PEERS] = {"shallot_relay_peers", "other nodes known",
			 COUNTER_GAUGE},
	[RELAY_FLOWS_SOUGHT] = {"shallot_relay_sought_total",
				"times that other nodes were asked for a flow "
				"that was opened here",
				COUNTER_TOTAL},
	[RELAY_FLOWS_FOUND] = {"shallot_relay_found_total",
			       "answers that a node has such a flow",
			       COUNTER_TOTAL},
	[RELAY_BUSIEST_MILLI] = {"shallot_relay_busiest_milli",
				 "load of the own zone's busiest target, in "
				 "thousandths of its service's mean",
				 COUNTER_GAUGE},
	[RELAY_LOADED_TARGETS] = {"shallot_relay_loaded_targets",
				  "targets of the own zone with 1.5 times the "
				  "mean load or more",
				  COUNTER_GAUGE},
	[RELAY_SLOW_TARGETS] = {"shallot_relay_slow_targets",
				"targets of the own zone whose requests on "
				"long flows take 1.5 times the mean or more",
				COUNTER_GAUGE},
	[RELAY_WORK_US] = {"shallot_relay_work_us",
			   "mean time of requests on long flows at targets of "
			   "the own zone, of those whose answers were seen",
			   COUNTER_GAUGE},
	[RELAY_PEER_MESSAGES_SENT] = {"shallot_relay_peer_sent_total",
				      "messages sent to other nodes",
				      COUNTER_TOTAL},
	[RELAY_PEER_MESSAGES_RECEIVED] = {"shallot_relay_peer_received_total",
					  "messages received from other nodes",
					  COUNTER_TOTAL},
	[RELAY_PEER_MESSAGES_STRAY] =
		{"shallot_relay_peer_stray_total",
		 "messages from addresses of no known node", COUNTER_TOTAL},
	[RELAY_PEER_MESSAGES_MALFORMED] = {"shallot_relay_peer_malformed_total",
					   "messages that could not be read",
					   COUNTER_TOTAL},
};

static const char *const action_names[RELAY_ACTION_COUNT] = {
	[RELAY_FORWARD] = "forward",
	[RELAY_RESET] = "reset",
	[RELAY_DROP] = "drop",
	[RELAY_HOLD] = "hold",
};

struct relay_counters {
	struct counter_set *set;
	struct counter_row rows[RELAY_COUNTER_COUNT];
	char *names[RELAY_ACTION_COUNT * REASON_COUNT];
};

static void init_decision_rows(struct relay_counters *counters)
{
	for (uint32_t i = 0; i < RELAY_ACTION_COUNT * REASON_COUNT; i++) {
		counters->names[i] = g_strdup_printf(
			"shallot_relay_decisions_total{action=\"%s\","
			"reason=\"%s\"}",
			action_names[i / REASON_COUNT],
			reason_name((enum reason)(i % REASON_COUNT)));
		counters->rows[RELAY_DECISIONS + i] = (struct counter_row){
			counters->names[i], "packets by decision",
			COUNTER_TOTAL};
	}
}

/* Creates the counters. Free them with relay_counters_free. */
struct relay_counters *relay_counters_new(void)
{
	struct relay_counters *counters = g_new0(struct relay_counters, 1);

	for (uint32_t i = 0; i < RELAY_DECISIONS; i++)
		counters->rows[i] = fixed_rows[i];
	init_decision_rows(counters);
	counters->set = counter_set_new(counters->rows, RELAY_COUNTER_COUNT);
	return counters;
}

/* Frees the counters; NULL is allowed. */
void relay_counters_free(struct relay_counters *counters)
{
	if (!counters)
		return;
	counter_set_free(counters->set);
	for (uint32_t i = 0; i < RELAY_ACTION_COUNT * REASON_COUNT; i++)
		g_free(counters->names[i]);
	g_free(counters);
}

/* Returns the counter set, which belongs to the counters. */
struct counter_set *relay_counters_set(struct relay_counters *counters)
{
	return counters->set;
}

/* Counts a decision by action and reason. */
void relay_counters_add_verdict(struct relay_counters *counters,
				const struct relay_verdict *verdict)
{
	counter_set_add(counters->set,
			RELAY_DECISIONS + verdict->action * REASON_COUNT +
				verdict->reason,
			1);
	if (verdict->is_cold)
		counter_set_add(counters->set, RELAY_COLD_OPENINGS, 1);
}

/* Sets the gauges from the director's state. */
void relay_counters_update_gauges(struct relay_counters *counters,
				  struct relay_director *director,
				  int64_t now_ms)
{
	struct relay_spread spread = relay_director_spread(director, now_ms);

	counter_set_assign(counters->set, RELAY_FLOWS,
			   relay_director_flow_count(director));
	counter_set_assign(
		counters->set, RELAY_TARGETS,
		relay_directory_count(relay_director_directory(director)));
	counter_set_assign(counters->set, RELAY_COLD_TARGETS,
			   relay_director_cold_count(director));
	counter_set_assign(
		counters->set, RELAY_ZONES_LOST,
		relay_silence_lost_count(relay_director_silence(director)));
	counter_set_assign(counters->set, RELAY_ISOLATED,
			   relay_director_is_isolated(director));
	counter_set_assign(counters->set, RELAY_SILENT_TARGETS,
			   relay_director_silent_count(director));
	counter_set_assign(counters->set, RELAY_SHORT_SERVICES,
			   relay_director_short_count(director));
	counter_set_assign(counters->set, RELAY_CONFIG_VERSION,
			   relay_director_config_version(director));
	counter_set_assign(
		counters->set, RELAY_EVACUATED_ZONES,
		relay_evacuations_count(relay_director_evacuations(director)));
	counter_set_assign(counters->set, RELAY_BUSIEST_MILLI,
			   spread.busiest_milli);
	counter_set_assign(counters->set, RELAY_LOADED_TARGETS,
			   spread.loaded_count);
	counter_set_assign(counters->set, RELAY_SLOW_TARGETS,
			   spread.slow_count);
	counter_set_assign(counters->set, RELAY_WORK_US, spread.work_us);
}
