#ifndef TARGET_POOL_H
#define TARGET_POOL_H

#include "target_connection.h"

#include <task/task.h>

/* The kept connections to targets; the least recently used are closed first. */
struct target_pool;

struct target_pool_options {
	struct task *task;
	uint32_t capacity;
	uint32_t header_bytes;
};

struct target_pool *target_pool_new(const struct target_pool_options *options);
void target_pool_free(struct target_pool *pool);
struct target_connection *target_pool_take(struct target_pool *pool,
					   uint64_t target_id,
					   const struct endpoint *endpoint,
					   bool is_fresh);
void target_pool_keep(struct target_pool *pool,
		      struct target_connection *connection);

#endif
