#ifndef CORE_TARGET_BOOK_H
#define CORE_TARGET_BOOK_H

#include <core/rule_set.h>

#define TARGET_INDEX_NONE UINT16_MAX

/* A target that a flow or a pool refers to, and what this node knows of it. */
struct known_target {
	struct target target;
	/* Flows whose home this node is. */
	uint32_t flow_count;
	/* Records and pools that refer to the target by its index. */
	uint32_t hold_count;
	/* In the pool that is in force. */
	bool is_in_force;
	/* Another service has had the endpoint together with this one. */
	bool is_shared;
	/* The endpoint is in force under another id and must not be used. */
	bool is_reused;
};

/* The targets that one node knows, by index and by id. */
struct target_book;

struct target_book *target_book_new(void);
void target_book_free(struct target_book *book);
uint16_t target_book_add(struct target_book *book, const struct target *target);
uint16_t target_book_find(const struct target_book *book, uint64_t target_id);
struct known_target *target_book_at(struct target_book *book, uint16_t index);
uint32_t target_book_count(const struct target_book *book);
void target_book_set_rules(struct target_book *book,
			   const struct rule_set *rules);

#endif
