#include <wire/kv_entry.h>

#include <glib.h>
#include <string.h>

/* Copies an entry with its key and value. Free it with kv_entry_free. */
struct kv_entry *kv_entry_copy(const struct kv_entry *entry)
{
	struct kv_entry *copy = g_new0(struct kv_entry, 1);

	*copy = *entry;
	copy->key = g_strdup(entry->key);
	copy->value = g_malloc(entry->value_bytes + 1);
	memcpy(copy->value, entry->value, entry->value_bytes + 1);
	return copy;
}

/* Frees an entry; NULL is allowed. */
void kv_entry_free(struct kv_entry *entry)
{
	if (!entry)
		return;
	g_free(entry->key);
	g_free(entry->value);
	g_free(entry);
}
