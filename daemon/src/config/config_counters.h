#ifndef CONFIG_COUNTERS_H
#define CONFIG_COUNTERS_H

#include <task/counter_set.h>

/* The counters of the config task, rows of config_counter_rows. */
enum config_counter {
	CONFIG_REVISION,
	CONFIG_LINES,
	CONFIG_LINES_HELD,
	CONFIG_STORE_CALLS,
	CONFIG_STORE_FAILURES,
	CONFIG_STORE_REPAIRS,
	CONFIG_MESSAGES_SENT,
	CONFIG_MESSAGES_RECEIVED,
	CONFIG_MESSAGES_MALFORMED,
	CONFIG_MESSAGES_NOT_SENT,
	CONFIG_BYTES_SENT,
	CONFIG_COUNTER_COUNT,
};

extern const struct counter_row config_counter_rows[CONFIG_COUNTER_COUNT];

#endif
