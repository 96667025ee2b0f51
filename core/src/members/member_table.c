#include "member_table.h"

struct member_table {
	GHashTable *by_id;
	GPtrArray *members;
};

/* Creates an empty table. Free it with member_table_free. */
struct member_table *member_table_new(void)
{
	struct member_table *table = g_new0(struct member_table, 1);

	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->members = g_ptr_array_new_with_free_func(g_free);
	return table;
}

/* Frees the table and its members; NULL is allowed. */
void member_table_free(struct member_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_id);
	g_ptr_array_free(table->members, TRUE);
	g_free(table);
}

/* Returns the member with this id, dead or alive, or NULL. */
struct member *member_table_find(const struct member_table *table,
				 uint64_t node_id)
{
	return g_hash_table_lookup(table->by_id, &node_id);
}

static struct member *oldest_dead(const struct member_table *table,
				  uint32_t *dead_count)
{
	struct member *oldest = NULL;

	*dead_count = 0;
	for (guint i = 0; i < table->members->len; i++) {
		struct member *member = member_table_at(table, i);

		if (member_is_live(member))
			continue;
		(*dead_count)++;
		if (!oldest || member->died_ms < oldest->died_ms)
			oldest = member;
	}
	return oldest;
}

/*
 * Adds a member that is not in the table yet; the table owns it. Evicts the
 * member that has been dead longest if there are MEMBER_DEAD_COUNT_MAX dead
 * ones.
 */
struct member *member_table_add(struct member_table *table,
				const struct node *node)
{
	struct member *member = g_new0(struct member, 1);
	uint32_t dead_count;
	struct member *oldest = oldest_dead(table, &dead_count);

	if (dead_count >= MEMBER_DEAD_COUNT_MAX)
		member_table_remove(table, oldest);
	member->node = *node;
	g_hash_table_insert(table->by_id, &member->node.node_id, member);
	g_ptr_array_add(table->members, member);
	return member;
}

/* Removes and frees a member. */
void member_table_remove(struct member_table *table, struct member *member)
{
	g_hash_table_remove(table->by_id, &member->node.node_id);
	g_ptr_array_remove_fast(table->members, member);
}

/* Returns the number of members, including dead ones. */
uint32_t member_table_count(const struct member_table *table)
{
	return table->members->len;
}

/* Returns the member at an index below member_table_count. */
struct member *member_table_at(const struct member_table *table, uint32_t index)
{
	return g_ptr_array_index(table->members, index);
}

/* Returns the number of members that are not dead. */
uint32_t member_table_live_count(const struct member_table *table)
{
	uint32_t count = 0;

	for (guint i = 0; i < table->members->len; i++)
		count += member_is_live(member_table_at(table, i));
	return count;
}

/*
 * Selects up to count_max distinct members that pass the filter, at random, and
 * returns how many were selected (reservoir sampling, algorithm R).
 */
uint32_t member_table_sample(const struct member_table *table, GRand *rand,
			     const struct member_filter *filter,
			     struct member **sample, uint32_t count_max)
{
	uint32_t eligible_count = 0;

	for (guint i = 0; i < table->members->len; i++) {
		struct member *member = member_table_at(table, i);
		uint32_t slot;

		if (!filter->is_eligible(filter->context, member))
			continue;
		slot = eligible_count++;
		if (slot >= count_max)
			slot = (uint32_t)g_rand_int_range(
				rand, 0, (gint32)eligible_count);
		if (slot < count_max)
			sample[slot] = member;
	}
	return MIN(eligible_count, count_max);
}

/*
 * Returns a digest of the state on which nodes should converge; equal views
 * have equal digests.
 */
uint64_t member_table_digest(const struct member_table *table)
{
	uint64_t digest = 0;

	for (guint i = 0; i < table->members->len; i++)
		digest ^= member_digest(member_table_at(table, i));
	return digest;
}

/* Creates a view of the table. Free it with node_view_free. */
struct node_view *member_table_view(const struct member_table *table,
				    uint64_t self_id, uint64_t version)
{
	uint32_t count = table->members->len;
	struct node *nodes = g_new(struct node, count);
	struct node_view *view;

	for (uint32_t i = 0; i < count; i++) {
		const struct member *member = member_table_at(table, i);

		nodes[i] = member->node;
		nodes[i].state = member_view_state(member);
	}
	view = node_view_new(self_id, version, nodes, count);
	g_free(nodes);
	return view;
}
