#ifndef CORE_RELAY_TARGET_REPORT_H
#define CORE_RELAY_TARGET_REPORT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a node tells the other nodes of its zone about one target: that it
 * leaves the data of a flow unanswered, which a part of the flow's hash
 * identifies, or, if is_alive, that it received a packet alive_age_ms ago, as
 * its answer showed.
 */
struct relay_target_report {
	uint32_t tag;
	bool is_alive;
	uint32_t alive_age_ms;
	uint32_t flow;
};

#endif
