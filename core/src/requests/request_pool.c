#include "request_pool.h"

#include "request_service.h"

/*
 * The queueing time allowed for a class, and the queue length that is allowed
 * however small the share, so that the queue can absorb bursts.
 */
static const struct {
	uint32_t max_wait_ms;
	uint32_t min_queue_length;
} queue_limits[CLASS_COUNT] = {
	[CLASS_URGENT] = {250, 9},
	[CLASS_NORMAL] = {500, 9},
	[CLASS_BULK] = {2000, 4},
};

/* Creates a pool whose queues hold up to queue_limit requests each. */
struct request_pool *request_pool_new(uint32_t queue_limit)
{
	struct request_pool *pool = g_new0(struct request_pool, 1);

	for (int i = 0; i < CLASS_COUNT; i++)
		pool->queues[i] = class_queue_new(queue_limit,
						  queue_limits[i].max_wait_ms);
	admission_init(&pool->admission);
	pool->members =
		g_array_new(FALSE, FALSE, sizeof(struct request_pool_member));
	pool->retry_ms = INT64_MAX;
	return pool;
}

/* Frees the pool, but not the requests in its queues; NULL is allowed. */
void request_pool_free(struct request_pool *pool)
{
	if (!pool)
		return;
	g_array_free(pool->members, TRUE);
	for (int i = 0; i < CLASS_COUNT; i++)
		class_queue_free(pool->queues[i]);
	g_free(pool);
}

/* Returns how long a request of a class may wait in its queue. */
uint32_t request_pool_max_wait_ms(enum work_class work_class)
{
	return queue_limits[work_class].max_wait_ms;
}

/* Returns the queue length that a class is always allowed. */
uint32_t request_pool_min_queue_length(enum work_class work_class)
{
	return queue_limits[work_class].min_queue_length;
}

/* Returns whether any class has a waiting request. */
bool request_pool_has_waiting(const struct request_pool *pool)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		if (class_queue_length(pool->queues[i]) > 0)
			return true;
	}
	return false;
}

static bool accepts_requests(const struct request_service *service,
			     uint32_t index, int64_t now_ms)
{
	const struct target_stats *stats =
		g_ptr_array_index(service->stats_by_target, index);

	return service->states[index] != TARGET_LEAVING &&
	       service->states[index] != TARGET_CUT_OFF &&
	       !outlier_is_ejected(&stats->outlier, now_ms);
}

static void add_limits(struct admission_limits *limits,
		       struct target_stats *stats, int64_t now_ms)
{
	uint64_t share = slow_start_share_milli(&stats->slow_start, now_ms);

	limits->share_milli +=
		(uint32_t)(target_limit_share_milli(&stats->limit) * share /
			   SLOW_START_FULL_MILLI);
	limits->limit_milli += (uint32_t)(target_limit_milli(&stats->limit) *
					  share / SLOW_START_FULL_MILLI);
}

/* Returns the sum of the limits of the pool's usable targets. */
struct admission_limits request_pool_limits(const struct request_pool *pool,
					    int64_t now_ms)
{
	struct admission_limits limits = {.share_milli = 0};

	for (guint i = 0; i < pool->members->len; i++) {
		const struct request_pool_member *member = &g_array_index(
			pool->members, struct request_pool_member, i);

		if (accepts_requests(member->service, member->index, now_ms))
			add_limits(&limits, member->stats, now_ms);
	}
	return limits;
}
