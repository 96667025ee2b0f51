#include "config_counters.h"

const struct counter_row config_counter_rows[CONFIG_COUNTER_COUNT] = {
	[CONFIG_REVISION] = {"shallot_config_revision",
			     "Revision of the rules in force.", COUNTER_GAUGE},
	[CONFIG_RULES] = {"shallot_config_rules", "Rules in force.",
			  COUNTER_GAUGE},
	[CONFIG_LINES_HELD] = {"shallot_config_lines_held",
			       "Accepted lines this node holds back.",
			       COUNTER_GAUGE},
	[CONFIG_STORE_CALLS] = {"shallot_config_store_calls_total",
				"Calls to the key-value service.",
				COUNTER_GAUGE},
	[CONFIG_STORE_FAILURES] = {"shallot_config_store_failures_total",
				   "Calls to the key-value service that "
				   "failed.",
				   COUNTER_TOTAL},
	[CONFIG_STORE_REPAIRS] = {"shallot_config_store_repairs_total",
				  "Times the store had lost lines in force.",
				  COUNTER_TOTAL},
	[CONFIG_MESSAGES_SENT] = {"shallot_config_messages_sent_total",
				  "Messages to other nodes.", COUNTER_TOTAL},
	[CONFIG_MESSAGES_RECEIVED] = {"shallot_config_messages_received_total",
				      "Messages from other nodes.",
				      COUNTER_TOTAL},
	[CONFIG_MESSAGES_MALFORMED] = {"shallot_config_messages_malformed_"
				       "total",
				       "Messages that could not be read.",
				       COUNTER_TOTAL},
	[CONFIG_MESSAGES_NOT_SENT] = {"shallot_config_messages_not_sent_total",
				      "Messages the control task did not "
				      "take.",
				      COUNTER_TOTAL},
	[CONFIG_MESSAGE_BYTES_SENT] = {"shallot_config_bytes_sent_total",
				       "Bytes of messages to other nodes.",
				       COUNTER_TOTAL},
};
