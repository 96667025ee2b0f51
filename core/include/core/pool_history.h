#ifndef CORE_POOL_HISTORY_H
#define CORE_POOL_HISTORY_H

#include <core/target_book.h>

#define POOL_HISTORY_MAX 6

/* A member of a pool: the target's index in the book and its weight. */
struct pool_member {
	uint64_t target_id;
	uint32_t weight;
	uint16_t target_index;
};

/* The targets of a service from one generation to the next. */
struct pool {
	uint64_t generation;
	/* When a later one took its place here; 0 while it is in force. */
	int64_t superseded_ms;
	uint64_t weight_sum;
	uint32_t member_count;
	struct pool_member *members;
};

/*
 * The pool of one service that is in force and those before it that some node
 * or some flow may still follow. Index 0 is the newest.
 */
struct pool_history {
	uint32_t service_id;
	uint32_t flow_count;
	/* When the rule last changed here; 0 for never since the start. */
	int64_t changed_ms;
	uint32_t pool_count;
	struct pool pools[POOL_HISTORY_MAX];
};

struct pool_history *pool_history_new(uint32_t service_id);
void pool_history_free(struct pool_history *history, struct target_book *book);
bool pool_history_add(struct pool_history *history, struct target_book *book,
		      uint64_t generation, const struct target *targets,
		      uint32_t target_count, int64_t now_ms);
void pool_history_expire(struct pool_history *history, struct target_book *book,
			 int64_t before_ms);
const struct pool *pool_history_at(const struct pool_history *history,
				   uint64_t revision);
uint64_t pool_history_oldest(const struct pool_history *history);
uint16_t pool_default(const struct pool *pool, uint64_t print_low);

#endif
