#ifndef CTL_FLOOD_REQUEST_H
#define CTL_FLOOD_REQUEST_H

#include <core/work_class.h>
#include <stdint.h>

/* An operation of a caller, which may send several requests for it. */
struct flood_operation {
	uint64_t operation_id;
	enum work_class work_class;
	uint32_t caller;
	uint32_t work_ms;
	int64_t started_ms;
	bool is_repeatable;
	bool has_key;
	bool is_done;
	uint32_t execution_count;
	uint32_t request_count;
	uint32_t refs;
};

/* A request for an operation, sent to one node. */
struct flood_request {
	uint64_t request_id;
	struct flood_operation *operation;
	uint64_t node_id;
	int64_t sent_ms;
	int64_t deadline_ms;
	bool is_open;
	bool is_reported_not_run;
	uint32_t execution_count;
	uint32_t refs;
};

struct flood_request *flood_request_new(struct flood_operation *operation,
					uint64_t request_id);
struct flood_request *flood_request_ref(struct flood_request *request);
void flood_request_unref(struct flood_request *request);

#endif
