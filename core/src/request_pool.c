#include "request_pool.h"

/* How long a class may be expected to wait for its turn. */
static const uint32_t wait_ms[CLASS_COUNT] = {
	[CLASS_URGENT] = 250,
	[CLASS_NORMAL] = 500,
	[CLASS_BULK] = 2000,
};

/* Makes a pool whose queues hold queue_limit requests each. */
struct request_pool *request_pool_new(uint32_t queue_limit)
{
	struct request_pool *pool = g_new0(struct request_pool, 1);

	for (int i = 0; i < CLASS_COUNT; i++)
		pool->queues[i] = class_queue_new(queue_limit, wait_ms[i]);
	admission_init(&pool->admission);
	pool->members = g_array_new(FALSE, FALSE, sizeof(struct pool_member));
	pool->retry_ms = INT64_MAX;
	return pool;
}

/* Frees the pool; the requests that wait belong to the director. */
void request_pool_free(struct request_pool *pool)
{
	if (!pool)
		return;
	g_array_free(pool->members, TRUE);
	for (int i = 0; i < CLASS_COUNT; i++)
		class_queue_free(pool->queues[i]);
	g_free(pool);
}

/* Returns how long a class may be expected to wait in its queue. */
uint32_t request_pool_wait_ms(enum work_class work_class)
{
	return wait_ms[work_class];
}

/* Tells whether any class has a request waiting. */
bool request_pool_has_waiting(const struct request_pool *pool)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		if (class_queue_length(pool->queues[i]) > 0)
			return true;
	}
	return false;
}
