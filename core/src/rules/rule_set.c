#include <core/rule_set.h>

struct rule_set {
	uint64_t revision;
	GPtrArray *rules;
	GHashTable *by_address;
	GHashTable *by_id;
};

static guint endpoint_key_hash(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean endpoint_key_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

static void free_rule(gpointer rule)
{
	rule_free(rule);
}

/*
 * Makes an empty set of rules for a revision of the configuration. Free it with
 * rule_set_free.
 */
struct rule_set *rule_set_new(uint64_t revision)
{
	struct rule_set *set = g_new0(struct rule_set, 1);

	set->revision = revision;
	set->rules = g_ptr_array_new_with_free_func(free_rule);
	set->by_address =
		g_hash_table_new(endpoint_key_hash, endpoint_key_equal);
	set->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	return set;
}

/* Frees the set and the rules it owns; NULL is allowed. */
void rule_set_free(struct rule_set *set)
{
	if (!set)
		return;
	g_hash_table_destroy(set->by_address);
	g_hash_table_destroy(set->by_id);
	g_ptr_array_free(set->rules, TRUE);
	g_free(set);
}

/*
 * Makes a deep copy, so that each task can own a set. Free it with
 * rule_set_free.
 */
struct rule_set *rule_set_copy(const struct rule_set *set)
{
	struct rule_set *copy = rule_set_new(set->revision);

	for (guint i = 0; i < set->rules->len; i++)
		rule_set_add(copy, rule_copy(g_ptr_array_index(set->rules, i)));
	return copy;
}

/* Returns the revision of the configuration that the set was built from. */
uint64_t rule_set_revision(const struct rule_set *set)
{
	return set->revision;
}

/*
 * Adds a rule and takes ownership of it. If another rule has the same address
 * or service id, lookups return the rule added last.
 */
void rule_set_add(struct rule_set *set, struct rule *rule)
{
	g_ptr_array_add(set->rules, rule);
	g_hash_table_replace(set->by_id,
			     GUINT_TO_POINTER(rule->service.service_id), rule);
	for (uint32_t i = 0; i < rule->address_count; i++)
		g_hash_table_replace(set->by_address, &rule->addresses[i],
				     rule);
}

/* Returns the rule that has a service address, or NULL. */
const struct rule *rule_set_by_address(const struct rule_set *set,
				       const struct endpoint *address)
{
	return g_hash_table_lookup(set->by_address, address);
}

/* Returns the rule that has a service id, or NULL. */
const struct rule *rule_set_by_id(const struct rule_set *set,
				  uint32_t service_id)
{
	return g_hash_table_lookup(set->by_id, GUINT_TO_POINTER(service_id));
}

/* Returns the number of rules. */
uint32_t rule_set_count(const struct rule_set *set)
{
	return set->rules->len;
}

/* Returns the rule at an index below rule_set_count. */
const struct rule *rule_set_at(const struct rule_set *set, uint32_t index)
{
	return g_ptr_array_index(set->rules, index);
}
