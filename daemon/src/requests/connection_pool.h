#ifndef CONNECTION_POOL_H
#define CONNECTION_POOL_H

#include "target_connection.h"

#include <task/task.h>

/*
 * Idle connections to targets. Above capacity, the least recently used one is
 * closed.
 */
struct connection_pool;

struct connection_pool_options {
	struct task *task;
	uint32_t capacity;
	uint32_t header_bytes;
};

struct connection_pool *
connection_pool_new(const struct connection_pool_options *options);
void connection_pool_free(struct connection_pool *pool);
struct target_connection *
connection_pool_acquire(struct connection_pool *pool, uint64_t target_id,
			const struct endpoint *endpoint, bool must_be_new);
void connection_pool_release(struct connection_pool *pool,
			     struct target_connection *connection);

#endif
