#include "control_counters.h"

#define BY_FAMILY(first, name, help)                                           \
	[(first) + CONTROL_FAMILY_MEMBERS] = {name "{family=\"members\"}",     \
					      help, COUNTER_TOTAL},            \
		   [(first) + CONTROL_FAMILY_CLAIMS] = {name                   \
							"{family=\"claims\"}", \
							help, COUNTER_TOTAL},  \
		   [(first) + CONTROL_FAMILY_CONFIG] = {name                   \
							"{family=\"config\"}", \
							help, COUNTER_TOTAL},  \
		   [(first) + CONTROL_FAMILY_FLOWS] = {                        \
			   name "{family=\"flows\"}", help, COUNTER_TOTAL}

#define DROPPED(row, reason)                                                   \
	[row] = {"shallot_control_dropped_total{reason=\"" reason "\"}",       \
		 "Control messages dropped, by reason.", COUNTER_TOTAL}

#define NODES(state, label)                                                    \
	[CONTROL_NODES + (state)] = {"shallot_nodes{state=\"" label "\"}",     \
				     "Nodes by the state this node sees.",     \
				     COUNTER_GAUGE}

#define EVENT(kind, label)                                                     \
	[CONTROL_EVENTS + (kind)] = {                                          \
		"shallot_member_events_total{event=\"" label "\"}",            \
		"Membership decisions of this node.", COUNTER_TOTAL}

static const struct counter_row rows[CONTROL_COUNTER_COUNT] = {
	BY_FAMILY(CONTROL_BYTES_SENT, "shallot_control_sent_bytes_total",
		  "Control bytes sent, IP and UDP headers included."),
	BY_FAMILY(CONTROL_BYTES_RECEIVED,
		  "shallot_control_received_bytes_total",
		  "Authentic control bytes received, IP and UDP headers "
		  "included."),
	BY_FAMILY(CONTROL_MESSAGES_SENT, "shallot_control_sent_total",
		  "Control messages sent."),
	BY_FAMILY(CONTROL_MESSAGES_RECEIVED, "shallot_control_received_total",
		  "Authentic control messages received."),
	BY_FAMILY(CONTROL_QUEUE_FULL, "shallot_control_queue_full_total",
		  "Control messages not taken because the queue was full."),
	DROPPED(CONTROL_NOT_SENT, "not_sent"),
	DROPPED(CONTROL_NO_KEY, "no_key"),
	DROPPED(CONTROL_NO_NODE, "no_node"),
	DROPPED(CONTROL_NO_ROUTE, "no_route"),
	DROPPED(CONTROL_MAILBOX_FULL, "mailbox_full"),
	DROPPED(CONTROL_MALFORMED, "malformed"),
	DROPPED(CONTROL_NOT_AUTHENTIC, "not_authentic"),
	DROPPED(CONTROL_REPLAYED, "replayed"),
	DROPPED(CONTROL_CLOCK_SKEW, "clock_skew"),
	DROPPED(CONTROL_OTHER_VERSION, "other_version"),
	[CONTROL_REFUSED_BY_PEER] =
		{"shallot_control_refused_by_peer_total",
		 "Control messages a peer did not understand.", COUNTER_TOTAL},
	[CONTROL_KEY_READS] = {"shallot_control_key_reads_total",
			       "Key files taken over after a change.",
			       COUNTER_TOTAL},
	[CONTROL_KEYS_NOT_READ] = {"shallot_control_keys_not_read_total",
				   "Changed key files that could not be read.",
				   COUNTER_TOTAL},
	NODES(NODE_JOINING, "joining"),
	NODES(NODE_SERVING, "serving"),
	NODES(NODE_LEAVING, "leaving"),
	NODES(NODE_SUSPECT, "suspect"),
	NODES(NODE_DEAD, "dead"),
	NODES(NODE_CUT_OFF, "cut_off"),
	EVENT(MEMBER_EVENT_JOINED, "joined"),
	EVENT(MEMBER_EVENT_SERVING, "serving"),
	EVENT(MEMBER_EVENT_LEAVING, "leaving"),
	EVENT(MEMBER_EVENT_SUSPECTED, "suspected"),
	EVENT(MEMBER_EVENT_REFUTED, "refuted"),
	EVENT(MEMBER_EVENT_DIED, "died"),
	EVENT(MEMBER_EVENT_LEFT, "left"),
	EVENT(MEMBER_EVENT_FORGOTTEN, "forgotten"),
	EVENT(MEMBER_EVENT_ZONE_CUT, "zone_cut"),
	EVENT(MEMBER_EVENT_ZONE_HEALED, "zone_healed"),
	EVENT(MEMBER_EVENT_ZONE_LOST, "zone_lost"),
	EVENT(MEMBER_EVENT_WOKE, "woke"),
	EVENT(MEMBER_EVENT_DECLARED_DEAD, "declared_dead"),
};

/* Creates the counters of the control task, all zero. */
struct counter_set *control_counters_new(void)
{
	return counter_set_new(rows, CONTROL_COUNTER_COUNT);
}
