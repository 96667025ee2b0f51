#ifndef WIRE_KV_ENTRY_H
#define WIRE_KV_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * An entry of the platform's key-value store. The value is followed by a NUL
 * that value_bytes does not count; compare-and-swap compares mod_revision.
 */
struct kv_entry {
	char *key;
	char *value;
	uint32_t value_bytes;
	int64_t mod_revision;
	bool is_deleted;
};

struct kv_entry *kv_entry_copy(const struct kv_entry *entry);
void kv_entry_free(struct kv_entry *entry);

#endif
