#include <core/rules_replica.h>

#include <core/node_feature.h>
#include <string.h>

struct rules_replica {
	struct rules_document *document;
	struct rule_set *rules;
	GPtrArray *held_names;
	uint64_t enabled_features;
	bool needs_rebuild;
};

/* Makes an empty replica; free it with rules_replica_free. */
struct rules_replica *rules_replica_new(void)
{
	struct rules_replica *replica = g_new0(struct rules_replica, 1);

	replica->document = rules_document_new();
	replica->rules = rule_set_new(0);
	replica->held_names = g_ptr_array_new_with_free_func(g_free);
	return replica;
}

/* Frees a replica; NULL is allowed. */
void rules_replica_free(struct rules_replica *replica)
{
	if (!replica)
		return;
	rules_document_free(replica->document);
	rule_set_free(replica->rules);
	g_ptr_array_free(replica->held_names, TRUE);
	g_free(replica);
}

/* Joins a document; returns the number of lines that were newer. */
uint32_t rules_replica_join(struct rules_replica *replica,
			    const struct rules_document *document)
{
	uint32_t count = rules_document_join(replica->document, document);

	replica->needs_rebuild = replica->needs_rebuild || count > 0;
	return count;
}

/* Takes ownership of a line; returns whether it was newer and was kept. */
bool rules_replica_put(struct rules_replica *replica, struct rules_line *line)
{
	bool is_kept = rules_document_put(replica->document, line);

	replica->needs_rebuild = replica->needs_rebuild || is_kept;
	return is_kept;
}

static struct rule *parse_text(const char *text, uint64_t generation)
{
	struct rule_error error;
	struct rule *rule =
		text ? rule_parse_bytes(text, strlen(text), &error) : NULL;

	if (rule)
		rule->generation = generation;
	return rule;
}

static bool is_form_enabled(const struct rules_replica *replica, uint32_t form)
{
	return form == RULE_FORM_FIRST ||
	       (form == 2 &&
		(replica->enabled_features & NODE_FEATURE_RULE_FORM_2));
}

/*
 * Returns a rule to put in force while the line is held back: that of its
 * previous_text, or a copy of the service's current rule, or NULL.
 */
static struct rule *fallback_rule(const struct rules_replica *replica,
				  const struct rules_line *line)
{
	uint32_t service_id = service_id_from_name(line->name);
	const struct rule *current;
	struct rule *rule =
		parse_text(line->previous_text, line->generation - 1);

	if (rule)
		return rule;
	current = rule_set_by_id(replica->rules, service_id);
	return current ? rule_copy(current) : NULL;
}

/*
 * Removes addresses that a newer rule in the set has. When an address moves
 * from one service to another, the new owner's line can arrive before the
 * updated line of the previous owner.
 */
static void remove_taken_addresses(struct rule *rule,
				   const struct rule_set *set)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < rule->address_count; i++) {
		if (!rule_set_by_address(set, &rule->addresses[i]))
			rule->addresses[kept++] = rule->addresses[i];
	}
	rule->address_count = kept;
}

static void add_line_rule(struct rules_replica *replica, struct rule_set *set,
			  const struct rules_line *line)
{
	struct rule *rule = NULL;

	if (line->is_deleted)
		return;
	if (is_form_enabled(replica, line->form))
		rule = parse_text(line->text, line->generation);
	if (!rule) {
		g_ptr_array_add(replica->held_names, g_strdup(line->name));
		rule = fallback_rule(replica, line);
	}
	if (!rule)
		return;
	remove_taken_addresses(rule, set);
	if (rule->address_count > 0) {
		rule_set_add(set, rule);
		return;
	}
	g_ptr_array_add(replica->held_names, g_strdup(line->name));
	rule_free(rule);
}

static gint compare_newest_first(gconstpointer a, gconstpointer b)
{
	const struct rules_line *const *first = a;
	const struct rules_line *const *second = b;

	if (rules_line_is_newer(*first, *second))
		return -1;
	return rules_line_is_newer(*second, *first) ? 1 : 0;
}

static GPtrArray *sorted_lines(const struct rules_document *document)
{
	GPtrArray *lines = g_ptr_array_new();

	for (uint32_t i = 0; i < rules_document_count(document); i++)
		g_ptr_array_add(lines,
				(gpointer)rules_document_at(document, i));
	g_ptr_array_sort(lines, compare_newest_first);
	return lines;
}

/*
 * Rebuilds the rules in force if a line changed or a feature was added to
 * common_features, which all live nodes support. A syntax version, once
 * enabled, stays enabled, so that no rule reverts when a node of an older
 * version joins. Returns whether the rules were rebuilt.
 */
bool rules_replica_rebuild(struct rules_replica *replica,
			   uint64_t common_features)
{
	uint64_t enabled_features = replica->enabled_features | common_features;
	struct rule_set *set;
	GPtrArray *lines;

	if (!replica->needs_rebuild &&
	    enabled_features == replica->enabled_features)
		return false;
	replica->enabled_features = enabled_features;
	replica->needs_rebuild = false;
	g_ptr_array_set_size(replica->held_names, 0);
	set = rule_set_new(rules_document_revision(replica->document));
	lines = sorted_lines(replica->document);
	for (guint i = 0; i < lines->len; i++)
		add_line_rule(replica, set, g_ptr_array_index(lines, i));
	g_ptr_array_free(lines, TRUE);
	rule_set_free(replica->rules);
	replica->rules = set;
	return true;
}

/* Returns the replicated document. */
const struct rules_document *
rules_replica_document(const struct rules_replica *replica)
{
	return replica->document;
}

/* Returns the rules in force as of the last rules_replica_rebuild. */
const struct rule_set *rules_replica_rules(const struct rules_replica *replica)
{
	return replica->rules;
}

/* Returns the number of lines that are held back on this node. */
uint32_t rules_replica_held_line_count(const struct rules_replica *replica)
{
	return replica->held_names->len;
}

/* Returns a held line's name, at an index below rules_replica_held_line_count.
 */
const char *rules_replica_held_name(const struct rules_replica *replica,
				    uint32_t index)
{
	return g_ptr_array_index(replica->held_names, index);
}
