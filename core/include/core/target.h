#ifndef CORE_TARGET_H
#define CORE_TARGET_H

#include <core/endpoint.h>

#define TARGET_NONE 0

enum target_state {
	TARGET_SERVING,
	TARGET_COLD,
	TARGET_LEAVING,
	TARGET_FAILING,
	TARGET_CUT_OFF,
	/* It no longer owns its address, so no packets are sent to it. */
	TARGET_GONE,
	TARGET_STATE_COUNT,
};

/*
 * A back end of one service. Addresses are reused, so target_id is a hash of
 * the endpoint, the service and the incarnation: an id never refers to another
 * service later. slot_count is how many requests or flows the target processes
 * at the same time; more have to wait.
 */
struct target {
	uint64_t target_id;
	struct endpoint endpoint;
	uint32_t incarnation;
	uint32_t service_id;
	uint32_t zone_id;
	uint32_t weight;
	uint32_t slot_count;
	uint32_t connection_limit;
	enum target_state state;
};

uint64_t target_id_of(const struct target *target);
const char *target_state_name(enum target_state state);

#endif
