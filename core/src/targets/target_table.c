#include <core/target_table.h>

struct target_table {
	GArray *targets;
	GHashTable *by_id;
	/* Maps each endpoint to the id of its current target. */
	GHashTable *owners;
};

static guint hash_endpoint(gconstpointer endpoint)
{
	return (guint)endpoint_hash(endpoint, 0);
}

static gboolean equal_endpoints(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

/* Creates an empty table. Free it with target_table_free. */
struct target_table *target_table_new(void)
{
	struct target_table *table = g_new0(struct target_table, 1);

	table->targets = g_array_new(FALSE, TRUE, sizeof(struct target_record));
	table->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	table->owners = g_hash_table_new_full(hash_endpoint, equal_endpoints,
					      g_free, g_free);
	return table;
}

/* Frees the table; NULL is allowed. */
void target_table_free(struct target_table *table)
{
	if (!table)
		return;
	g_array_free(table->targets, TRUE);
	g_hash_table_destroy(table->by_id);
	g_hash_table_destroy(table->owners);
	g_free(table);
}

/* Returns the index of a target id, or TARGET_INDEX_NONE. */
uint16_t target_table_find(const struct target_table *table, uint64_t target_id)
{
	gpointer value;

	if (!g_hash_table_lookup_extended(table->by_id, &target_id, NULL,
					  &value))
		return TARGET_INDEX_NONE;
	return (uint16_t)GPOINTER_TO_UINT(value);
}

/* Returns the target at an index; the pointer is valid until the next add. */
struct target_record *target_table_at(struct target_table *table,
				      uint16_t index)
{
	return &g_array_index(table->targets, struct target_record, index);
}

static uint16_t find_free(const struct target_table *table)
{
	for (guint i = 0; i < table->targets->len; i++) {
		const struct target_record *record =
			&g_array_index(table->targets, struct target_record, i);

		if (record->target.target_id == TARGET_NONE)
			return (uint16_t)i;
	}
	return TARGET_INDEX_NONE;
}

static uint16_t allocate_index(struct target_table *table)
{
	uint16_t index = find_free(table);

	if (index != TARGET_INDEX_NONE)
		return index;
	if (table->targets->len >= TARGET_INDEX_NONE)
		return TARGET_INDEX_NONE;
	g_array_set_size(table->targets, table->targets->len + 1);
	return (uint16_t)(table->targets->len - 1);
}

/*
 * Each node detects by itself whether a target is cold or cut off, so it treats
 * a target that is reported in such a state as serving.
 */
static enum target_state initial_state(enum target_state reported)
{
	return reported == TARGET_COLD || reported == TARGET_CUT_OFF
		       ? TARGET_SERVING
		       : reported;
}

/* Returns whether the rules list a target's endpoint for a different target. */
static bool has_other_owner(const struct target_table *table,
			    const struct target *target)
{
	const uint64_t *owner_id =
		g_hash_table_lookup(table->owners, &target->endpoint);

	return owner_id && *owner_id != target->target_id;
}

/*
 * Adds a target unless the table contains its id, and returns its index, or
 * TARGET_INDEX_NONE if the table is full.
 */
uint16_t target_table_add(struct target_table *table,
			  const struct target *target)
{
	uint16_t index = target_table_find(table, target->target_id);
	struct target_record *record;

	if (index != TARGET_INDEX_NONE)
		return index;
	index = allocate_index(table);
	if (index == TARGET_INDEX_NONE)
		return index;
	record = target_table_at(table, index);
	*record = (struct target_record){.target = *target};
	record->target.state = initial_state(target->state);
	record->is_endpoint_reused = has_other_owner(table, target);
	g_hash_table_insert(
		table->by_id,
		g_memdup2(&target->target_id, sizeof(target->target_id)),
		GUINT_TO_POINTER(index));
	return index;
}

/* Returns the number of indexes; a free one has target_id TARGET_NONE. */
uint32_t target_table_count(const struct target_table *table)
{
	return table->targets->len;
}

/* Adds or updates the targets of a rule, keeping their state in the table. */
static void add_rule_targets(struct target_table *table,
			     const struct rule *rule)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		const struct target *target = &rule->targets[i];
		uint16_t index = target_table_add(table, target);
		struct target_record *record;
		enum target_state state;

		if (index == TARGET_INDEX_NONE)
			continue;
		record = target_table_at(table, index);
		state = record->target.state;
		record->target = *target;
		record->target.state = state;
		record->is_in_current_pool = true;
	}
}

static void find_owners(struct target_table *table,
			const struct rule_set *rules)
{
	g_hash_table_remove_all(table->owners);
	for (uint32_t i = 0; i < rule_set_count(rules); i++) {
		const struct rule *rule = rule_set_at(rules, i);

		for (uint32_t k = 0; k < rule->target_count; k++) {
			const struct target *target = &rule->targets[k];

			g_hash_table_insert(
				table->owners,
				g_memdup2(&target->endpoint,
					  sizeof(target->endpoint)),
				g_memdup2(&target->target_id,
					  sizeof(target->target_id)));
		}
	}
}

static void update_endpoint_flags(struct target_table *table, uint16_t index)
{
	struct target_record *record = target_table_at(table, index);
	const uint64_t *owner_id =
		g_hash_table_lookup(table->owners, &record->target.endpoint);
	uint16_t owner_index;

	if (record->target.target_id == TARGET_NONE || !owner_id)
		return;
	if (*owner_id == record->target.target_id) {
		record->is_endpoint_reused = false;
		return;
	}
	owner_index = target_table_find(table, *owner_id);
	if (record->is_in_current_pool && owner_index != TARGET_INDEX_NONE) {
		record->is_endpoint_shared = true;
		target_table_at(table, owner_index)->is_endpoint_shared = true;
	}
	/* If the rules list both targets at once, they share the endpoint. */
	record->is_endpoint_reused = !record->is_endpoint_shared;
}

static void remove_unused(struct target_table *table)
{
	for (guint i = 0; i < table->targets->len; i++) {
		struct target_record *record =
			target_table_at(table, (uint16_t)i);

		if (record->is_in_current_pool || record->ref_count > 0 ||
		    record->target.target_id == TARGET_NONE)
			continue;
		g_hash_table_remove(table->by_id, &record->target.target_id);
		*record = (struct target_record){.flow_count = 0};
	}
}

/*
 * Updates the table to new rules. Marks the targets that are in a pool, and
 * those outside every pool whose endpoint now belongs to another target. An
 * endpoint that is in two pools at once is shared and is not marked as reused.
 */
void target_table_set_rules(struct target_table *table,
			    const struct rule_set *rules)
{
	find_owners(table, rules);
	for (guint i = 0; i < table->targets->len; i++)
		target_table_at(table, (uint16_t)i)->is_in_current_pool = false;
	for (uint32_t i = 0; i < rule_set_count(rules); i++)
		add_rule_targets(table, rule_set_at(rules, i));
	for (guint i = 0; i < table->targets->len; i++)
		update_endpoint_flags(table, (uint16_t)i);
	remove_unused(table);
}
