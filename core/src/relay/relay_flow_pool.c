#include "relay_flow_pool.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define BLOCK_SHIFT 8
#define BLOCK_FLOW_COUNT (1U << BLOCK_SHIFT)

_Static_assert(sizeof(struct relay_flow) == 2 * CACHE_LINE_BYTES,
	       "a record occupies two cache lines");

TAILQ_HEAD(free_list, relay_flow);

/* blocks are arrays of BLOCK_FLOW_COUNT records; unused links free records. */
struct relay_flow_pool {
	GPtrArray *blocks;
	struct free_list unused;
};

/* Creates an empty pool. Free it with relay_flow_pool_free. */
struct relay_flow_pool *relay_flow_pool_new(void)
{
	struct relay_flow_pool *pool = g_new0(struct relay_flow_pool, 1);

	pool->blocks = g_ptr_array_new_with_free_func(free);
	TAILQ_INIT(&pool->unused);
	return pool;
}

/* Frees the pool with all of its records; NULL is allowed. */
void relay_flow_pool_free(struct relay_flow_pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_free(pool->blocks, TRUE);
	g_free(pool);
}

static void add_block(struct relay_flow_pool *pool)
{
	uint32_t first_number = pool->blocks->len << BLOCK_SHIFT;
	struct relay_flow *block = aligned_alloc(
		CACHE_LINE_BYTES, BLOCK_FLOW_COUNT * sizeof(struct relay_flow));

	/* As with GLib's allocations, the process ends without memory. */
	g_assert(block);
	g_ptr_array_add(pool->blocks, block);
	for (uint32_t i = 0; i < BLOCK_FLOW_COUNT; i++) {
		block[i].number = first_number + i;
		TAILQ_INSERT_TAIL(&pool->unused, &block[i], by_use);
	}
}

/* Returns a record in which only the number is set. */
struct relay_flow *relay_flow_pool_take(struct relay_flow_pool *pool)
{
	struct relay_flow *flow;
	uint32_t number;

	if (TAILQ_EMPTY(&pool->unused))
		add_block(pool);
	flow = TAILQ_FIRST(&pool->unused);
	TAILQ_REMOVE(&pool->unused, flow, by_use);
	number = flow->number;
	memset(flow, 0, sizeof(*flow));
	flow->number = number;
	return flow;
}

/* Returns a record to the pool, which uses it again. */
void relay_flow_pool_give_back(struct relay_flow_pool *pool,
			       struct relay_flow *flow)
{
	TAILQ_INSERT_HEAD(&pool->unused, flow, by_use);
}

/* Returns the record with this number. */
struct relay_flow *relay_flow_pool_at(const struct relay_flow_pool *pool,
				      uint32_t number)
{
	struct relay_flow *block =
		g_ptr_array_index(pool->blocks, number >> BLOCK_SHIFT);

	return &block[number & (BLOCK_FLOW_COUNT - 1)];
}
