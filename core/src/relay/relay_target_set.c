#include <core/relay_target_set.h>

/*
 * Initializes an empty set. flag is a single bit, other than that of any other
 * set of the same targets. Release the set with relay_target_set_clear.
 */
void relay_target_set_init(struct relay_target_set *set, uint8_t flag)
{
	set->targets = g_ptr_array_new();
	set->flag = flag;
}

/* Releases the set, but not its targets, which may be freed already. */
void relay_target_set_clear(struct relay_target_set *set)
{
	g_clear_pointer(&set->targets, g_ptr_array_unref);
}

/* Adds a target, which may be in the set already. */
void relay_target_set_add(struct relay_target_set *set,
			  struct relay_target *entry)
{
	if (entry->set_flags & set->flag)
		return;
	entry->set_flags |= set->flag;
	g_ptr_array_add(set->targets, entry);
}

/* Removes a target, which need not be in the set. */
void relay_target_set_remove(struct relay_target_set *set,
			     struct relay_target *entry)
{
	if (!(entry->set_flags & set->flag))
		return;
	entry->set_flags &= (uint8_t)~set->flag;
	g_ptr_array_remove_fast(set->targets, entry);
}

/*
 * Calls visit for each target of the set and removes those for which it returns
 * false; visit must neither free a target nor change the set.
 */
void relay_target_set_filter(struct relay_target_set *set, void *context,
			     bool (*visit)(void *context,
					   struct relay_target *entry))
{
	for (guint i = set->targets->len; i-- > 0;) {
		struct relay_target *entry = g_ptr_array_index(set->targets, i);

		if (visit(context, entry))
			continue;
		entry->set_flags &= (uint8_t)~set->flag;
		g_ptr_array_remove_index_fast(set->targets, i);
	}
}
