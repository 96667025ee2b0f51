#ifndef CORE_REQUEST_POOL_H
#define CORE_REQUEST_POOL_H

#include <core/admission.h>
#include <core/class_queue.h>
#include <glib.h>

struct request_service;
struct target_stats;

/* A target of a pool, the first service that lists it, and its index there. */
struct request_pool_member {
	struct request_service *service;
	struct target_stats *stats;
	uint32_t index;
};

/*
 * The queues and the admission of services that share targets. retry_ms is when
 * admission may allow a waiting request even if no attempt ends before.
 */
struct request_pool {
	struct class_queue *queues[CLASS_COUNT];
	struct admission admission;
	GArray *members;
	/* Queue entries reserved for requests whose keys are being claimed. */
	uint32_t claiming_count[CLASS_COUNT];
	int64_t retry_ms;
};

struct request_pool *request_pool_new(uint32_t queue_limit);
void request_pool_free(struct request_pool *pool);
struct admission_limits request_pool_limits(const struct request_pool *pool,
					    int64_t now_ms);
uint32_t request_pool_max_wait_ms(enum work_class work_class);
uint32_t request_pool_min_queue_length(enum work_class work_class);
bool request_pool_has_waiting(const struct request_pool *pool);

#endif
