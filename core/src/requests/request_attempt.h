#ifndef CORE_REQUEST_ATTEMPT_H
#define CORE_REQUEST_ATTEMPT_H

#include "request_pool.h"
#include "targets/target_stats.h"
#include <core/placement.h>

/*
 * One attempt at sending a request to a target. An abandoned attempt no longer
 * affects its request but occupies its slot at the target until it ends or
 * due_ms passes, because the target may still be working on it.
 */
struct request_attempt {
	uint64_t attempt_id;
	uint64_t request_id;
	uint32_t service_id;
	enum work_class work_class;
	struct target_stats *stats;
	struct request_pool *pool;
	struct placement placement;
	int64_t started_ms;
	int64_t due_ms;
	bool has_headers;
	bool is_abandoned;
};

#endif
