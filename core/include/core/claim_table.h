#ifndef CORE_CLAIM_TABLE_H
#define CORE_CLAIM_TABLE_H

#include <core/claim_message.h>

/* The claims that one node holds; each expires after lifetime_ms. */
struct claim_table;

struct claim_table_options {
	uint32_t capacity;
	uint32_t lifetime_ms;
};

struct claim_table *claim_table_new(const struct claim_table_options *options);
void claim_table_free(struct claim_table *table);
enum claim_verdict claim_table_claim(struct claim_table *table,
				     struct hash128 key,
				     struct claim_token token, int64_t now_ms);
void claim_table_release(struct claim_table *table, struct hash128 key,
			 struct claim_token token, int64_t now_ms);
bool claim_table_merge(struct claim_table *table,
		       const struct claim_entry *entry, int64_t now_ms);
bool claim_table_next(const struct claim_table *table, uint64_t *cursor,
		      struct claim_entry *entry, int64_t now_ms);
void claim_table_expire(struct claim_table *table, int64_t now_ms);
uint32_t claim_table_count(const struct claim_table *table);

#endif
