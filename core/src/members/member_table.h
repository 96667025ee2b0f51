#ifndef MEMBER_TABLE_H
#define MEMBER_TABLE_H

#include "member.h"

#include <core/node_view.h>
#include <glib.h>

#define MEMBER_DEAD_COUNT_MAX 1024

/* All members, dead ones included, indexed by id and in an array. */
struct member_table;

/* Selects the members that may be sampled. */
struct member_filter {
	const void *context;
	bool (*is_eligible)(const void *context, const struct member *member);
};

struct member_table *member_table_new(void);
void member_table_free(struct member_table *table);
struct member *member_table_find(const struct member_table *table,
				 uint64_t node_id);
struct member *member_table_add(struct member_table *table,
				const struct node *node);
void member_table_remove(struct member_table *table, struct member *member);
uint32_t member_table_count(const struct member_table *table);
struct member *member_table_at(const struct member_table *table,
			       uint32_t index);
uint32_t member_table_live_count(const struct member_table *table);
uint32_t member_table_sample(const struct member_table *table, GRand *rand,
			     const struct member_filter *filter,
			     struct member **sample, uint32_t count_max);
uint64_t member_table_digest(const struct member_table *table);
struct node_view *member_table_view(const struct member_table *table,
				    uint64_t self_id, uint64_t version);

#endif
