#ifndef FAKES_CONFIG_FLEET_COUNT_H
#define FAKES_CONFIG_FLEET_COUNT_H

#include <stdint.h>

/* What a run of a fleet came to. */
struct config_fleet_count {
	uint64_t revert_count;
	uint64_t lost_count;
	uint64_t accepted_count;
	uint64_t rejected_count;
	uint64_t change_count;
	uint64_t spread_count;
	uint64_t store_read_count;
	uint64_t store_write_count;
	uint64_t message_count;
	uint64_t report_count;
	int64_t spread_max_ms;
};

#endif
