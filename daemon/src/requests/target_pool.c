#include "target_pool.h"

struct target_pool {
	struct target_pool_options options;
	/* Kept connections, the most recently used first. */
	GQueue kept;
};

static void free_all(GQueue *queue)
{
	struct target_connection *connection;

	while ((connection = g_queue_pop_head(queue)) != NULL)
		target_connection_free(connection);
}

/* Makes an empty pool; the caller frees it with target_pool_free. */
struct target_pool *target_pool_new(const struct target_pool_options *options)
{
	struct target_pool *pool = g_new0(struct target_pool, 1);

	pool->options = *options;
	g_queue_init(&pool->kept);
	return pool;
}

/* Closes every connection and frees the pool; NULL is allowed. */
void target_pool_free(struct target_pool *pool)
{
	if (!pool)
		return;
	free_all(&pool->kept);
	g_free(pool);
}

static struct target_connection *take_kept(struct target_pool *pool,
					   uint64_t target_id)
{
	GList *link = pool->kept.head;

	while (link) {
		struct target_connection *connection = link->data;
		GList *next = link->next;

		if (target_connection_target_id(connection) == target_id) {
			g_queue_delete_link(&pool->kept, link);
			if (target_connection_is_clean(connection))
				return connection;
			target_connection_free(connection);
		}
		link = next;
	}
	return NULL;
}

/*
 * Hands out a connection to a target. A request that may not be repeated asks
 * for a fresh one: when a kept one breaks, nobody can tell whether it ran.
 */
struct target_connection *target_pool_take(struct target_pool *pool,
					   uint64_t target_id,
					   const struct endpoint *endpoint,
					   bool is_fresh)
{
	struct target_connection *connection = NULL;
	struct target_connection_options options = {
		.base = task_base(pool->options.task),
		.target_id = target_id,
		.endpoint = *endpoint,
		.header_bytes = pool->options.header_bytes,
	};

	if (!is_fresh)
		connection = take_kept(pool, target_id);
	if (!connection)
		connection = target_connection_new(&options);
	target_connection_restart(connection);
	return connection;
}

/*
 * Takes a connection back for a later request, or closes it if it is not
 * clean. Must not be called from the connection's own callbacks.
 */
void target_pool_keep(struct target_pool *pool,
		      struct target_connection *connection)
{
	if (!target_connection_is_clean(connection)) {
		target_connection_free(connection);
		return;
	}
	g_queue_push_head(&pool->kept, connection);
	if (pool->kept.length > pool->options.capacity)
		target_connection_free(g_queue_pop_tail(&pool->kept));
}
