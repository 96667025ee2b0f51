#include "target_states.h"

/* How long the state of a target that no rule lists is kept. */
#define UNLISTED_RETENTION_MS 60000

/* The last reported state of a target, and when it was reported. */
struct reported_state {
	uint64_t target_id;
	enum target_state state;
	int64_t reported_ms;
};

struct target_states {
	GHashTable *by_id;
};

/* Creates an empty table. Free it with target_states_free. */
struct target_states *target_states_new(void)
{
	struct target_states *states = g_new0(struct target_states, 1);

	states->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return states;
}

/* Frees the table; NULL is allowed. */
void target_states_free(struct target_states *states)
{
	if (!states)
		return;
	g_hash_table_destroy(states->by_id);
	g_free(states);
}

/* Records the reported state of a target. */
void target_states_set(struct target_states *states, uint64_t target_id,
		       enum target_state state, int64_t now_ms)
{
	struct reported_state *reported = g_new(struct reported_state, 1);

	reported->target_id = target_id;
	reported->state = state;
	reported->reported_ms = now_ms;
	g_hash_table_replace(states->by_id, &reported->target_id, reported);
}

/* Returns the reported state of a target, or else the state in its rule. */
enum target_state target_states_get(const struct target_states *states,
				    const struct target *target)
{
	const struct reported_state *reported =
		g_hash_table_lookup(states->by_id, &target->target_id);

	return reported ? reported->state : target->state;
}

static GHashTable *listed_ids(const struct rule_set *rules)
{
	GHashTable *listed = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (uint32_t i = 0; i < rule_set_count(rules); i++) {
		const struct rule *rule = rule_set_at(rules, i);

		for (uint32_t j = 0; j < rule->target_count; j++)
			g_hash_table_add(listed, &rule->targets[j].target_id);
	}
	return listed;
}

/*
 * Removes targets that the rules do not list, unless their state was reported
 * less than UNLISTED_RETENTION_MS ago: a state may arrive before the rule that
 * lists its target.
 */
void target_states_remove_unlisted(struct target_states *states,
				   const struct rule_set *rules, int64_t now_ms)
{
	GHashTable *listed = listed_ids(rules);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, states->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct reported_state *reported = value;

		if (now_ms - reported->reported_ms >= UNLISTED_RETENTION_MS &&
		    !g_hash_table_contains(listed, &reported->target_id))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(listed);
}
