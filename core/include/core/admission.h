#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <core/usage_average.h>
#include <core/work_class.h>

/*
 * Decides which class may start the next request at a pool of targets. Each
 * class has a guaranteed share; the remaining capacity goes to the most urgent
 * class first. non_bulk is the usage of all classes except bulk together.
 */
struct admission {
	struct usage_average non_bulk;
	struct usage_average by_class[CLASS_COUNT];
};

/*
 * The concurrency that a pool's targets allow this node, in thousandths of a
 * request: share_milli is the node's even share of their slots, limit_milli the
 * limit adapted to their latency and to responses that report them busy.
 */
struct admission_limits {
	uint32_t share_milli;
	uint32_t limit_milli;
};

void admission_init(struct admission *admission);
void admission_add_in_flight(struct admission *admission,
			     enum work_class work_class, int32_t delta,
			     int64_t now_ms);
bool admission_next_class(struct admission *admission,
			  const struct admission_limits *limits,
			  const bool has_waiting[CLASS_COUNT],
			  enum work_class *work_class, int64_t now_ms);
uint32_t admission_available_milli(struct admission *admission,
				   enum work_class work_class,
				   const struct admission_limits *limits,
				   int64_t now_ms);
int64_t admission_retry_ms(struct admission *admission,
			   const struct admission_limits *limits,
			   int64_t now_ms);

#endif
