#ifndef CORE_RELAY_SERVICE_H
#define CORE_RELAY_SERVICE_H

#include <stdint.h>

/*
 * What the configuration says of a service. A target is cold for warmup_ms
 * after its start and is then meant to get at most warmup_per_s_milli
 * thousandths of a new flow a second, from all nodes together; 0 means that no
 * limit applies.
 */
struct relay_service {
	uint32_t service_id;
	uint32_t warmup_ms;
	uint32_t warmup_per_s_milli;
};

#endif
