#include "connection_pool.h"

struct connection_pool {
	struct connection_pool_options options;
	/* The most recently used connection is first. */
	GQueue idle;
};

static void free_all(GQueue *queue)
{
	struct target_connection *connection;

	while ((connection = g_queue_pop_head(queue)) != NULL)
		target_connection_free(connection);
}

/* Creates an empty pool. Free it with connection_pool_free. */
struct connection_pool *
connection_pool_new(const struct connection_pool_options *options)
{
	struct connection_pool *pool = g_new0(struct connection_pool, 1);

	pool->options = *options;
	g_queue_init(&pool->idle);
	return pool;
}

/* Closes every connection and frees the pool; NULL is allowed. */
void connection_pool_free(struct connection_pool *pool)
{
	if (!pool)
		return;
	free_all(&pool->idle);
	g_free(pool);
}

static struct target_connection *take_idle(struct connection_pool *pool,
					   uint64_t target_id)
{
	GList *link = pool->idle.head;

	while (link) {
		struct target_connection *connection = link->data;
		GList *next = link->next;

		if (target_connection_target_id(connection) == target_id) {
			g_queue_delete_link(&pool->idle, link);
			if (target_connection_is_reusable(connection))
				return connection;
			target_connection_free(connection);
		}
		link = next;
	}
	return NULL;
}

/*
 * Returns an idle or new connection to a target. A request that is not
 * repeatable needs a new one: if a reused connection breaks, it is unknown
 * whether the request ran.
 */
struct target_connection *
connection_pool_acquire(struct connection_pool *pool, uint64_t target_id,
			const struct endpoint *endpoint, bool must_be_new)
{
	struct target_connection *connection = NULL;
	struct target_connection_options options = {
		.base = task_base(pool->options.task),
		.target_id = target_id,
		.endpoint = *endpoint,
		.header_bytes = pool->options.header_bytes,
	};

	if (!must_be_new)
		connection = take_idle(pool, target_id);
	if (!connection)
		connection = target_connection_new(&options);
	target_connection_reset_sent_bytes(connection);
	return connection;
}

/*
 * Returns a connection to the pool, or closes it if it is not reusable. Must
 * not be called from the connection's own callbacks.
 */
void connection_pool_release(struct connection_pool *pool,
			     struct target_connection *connection)
{
	if (!target_connection_is_reusable(connection)) {
		target_connection_free(connection);
		return;
	}
	g_queue_push_head(&pool->idle, connection);
	if (pool->idle.length > pool->options.capacity)
		target_connection_free(g_queue_pop_tail(&pool->idle));
}
