#ifndef FAKES_CONFIG_FLEET_RESULT_H
#define FAKES_CONFIG_FLEET_RESULT_H

#include <stdint.h>

/*
 * Results of a run. revert_count counts rules, revisions and texts that went
 * back to an earlier value; it must stay 0. lost_count counts accepted lines
 * that the store or a node lacks. propagated_count counts the changes that have
 * reached all nodes, the slowest of them within propagation_max_ms.
 */
struct config_fleet_result {
	uint64_t revert_count;
	uint64_t lost_count;
	uint64_t accepted_count;
	uint64_t rejected_count;
	uint64_t change_count;
	uint64_t propagated_count;
	uint64_t store_read_count;
	uint64_t store_write_count;
	uint64_t message_count;
	uint64_t report_count;
	int64_t propagation_max_ms;
};

#endif
