#include <wire/kv_entry.h>

#include <glib.h>

/* Frees an entry; NULL is allowed. */
void kv_entry_free(struct kv_entry *entry)
{
	if (!entry)
		return;
	g_free(entry->key);
	g_free(entry->value);
	g_free(entry);
}
