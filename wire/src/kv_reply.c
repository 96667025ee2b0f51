#include <wire/kv_reply.h>

static void free_entry(gpointer entry)
{
	kv_entry_free(entry);
}

/* Returns a reply without entries. Free it with kv_reply_free. */
struct kv_reply *kv_reply_new(void)
{
	struct kv_reply *reply = g_new0(struct kv_reply, 1);

	reply->entries = g_ptr_array_new_with_free_func(free_entry);
	return reply;
}

/* Frees a reply and its entries; NULL is allowed. */
void kv_reply_free(struct kv_reply *reply)
{
	if (!reply)
		return;
	g_ptr_array_free(reply->entries, TRUE);
	g_free(reply);
}

/* Returns the entry at an index, or NULL if the reply has fewer. */
const struct kv_entry *kv_reply_entry(const struct kv_reply *reply,
				      uint32_t index)
{
	if (index >= reply->entries->len)
		return NULL;
	return g_ptr_array_index(reply->entries, index);
}
