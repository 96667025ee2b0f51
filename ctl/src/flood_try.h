#ifndef CTL_FLOOD_TRY_H
#define CTL_FLOOD_TRY_H

#include <core/work_class.h>
#include <stdint.h>

/* An operation of a caller, which may send several requests for it. */
struct flood_work {
	uint64_t work_id;
	enum work_class work_class;
	uint32_t caller;
	uint32_t work_ms;
	int64_t began_ms;
	bool is_repeatable;
	bool has_key;
	bool is_done;
	uint32_t ran_count;
	uint32_t try_count;
	uint32_t refs;
};

/* A request for an operation, sent to one node. */
struct flood_try {
	uint64_t try_id;
	struct flood_work *work;
	uint64_t node_id;
	int64_t sent_ms;
	int64_t deadline_ms;
	bool is_open;
	bool was_told_not_run;
	uint32_t ran_count;
	uint32_t refs;
};

struct flood_try *flood_try_new(struct flood_work *work, uint64_t try_id);
struct flood_try *flood_try_ref(struct flood_try *trial);
void flood_try_unref(struct flood_try *trial);

#endif
