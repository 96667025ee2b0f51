#include "target_watch.h"

#include <core/target.h>

struct target_watch {
	struct target_watch_options options;
	struct rule_set *rules;
	/* Addresses (struct ip_addr) of VMs that are leaving. */
	GHashTable *leaving_addrs;
	/* Ids of the targets last reported as leaving. */
	GHashTable *reported_leaving_ids;
};

static guint addr_hash(gconstpointer key)
{
	struct endpoint endpoint = {.addr = *(const struct ip_addr *)key};

	return (guint)endpoint_hash(&endpoint, 0);
}

static gboolean addr_equal(gconstpointer a, gconstpointer b)
{
	return ip_addr_equal(a, b);
}

/* Creates a watch without rules. Free it with target_watch_free. */
struct target_watch *
target_watch_new(const struct target_watch_options *options)
{
	struct target_watch *watch = g_new0(struct target_watch, 1);

	watch->options = *options;
	watch->rules = rule_set_new(0);
	watch->leaving_addrs =
		g_hash_table_new_full(addr_hash, addr_equal, g_free, NULL);
	watch->reported_leaving_ids = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	return watch;
}

/* Frees the watch; NULL is allowed. */
void target_watch_free(struct target_watch *watch)
{
	if (!watch)
		return;
	rule_set_free(watch->rules);
	g_hash_table_destroy(watch->leaving_addrs);
	g_hash_table_destroy(watch->reported_leaving_ids);
	g_free(watch);
}

/* Reports a target's state if it differs from the one last reported. */
static void update_target(struct target_watch *watch,
			  const struct target *target)
{
	bool is_leaving = g_hash_table_contains(watch->leaving_addrs,
						&target->endpoint.addr);
	bool was_leaving = g_hash_table_contains(watch->reported_leaving_ids,
						 &target->target_id);

	if (is_leaving == was_leaving ||
	    !watch->options.on_state(watch->options.context, target->target_id,
				     is_leaving ? TARGET_LEAVING
						: TARGET_SERVING))
		return;
	if (is_leaving)
		g_hash_table_add(watch->reported_leaving_ids,
				 g_memdup2(&target->target_id,
					   sizeof(target->target_id)));
	else
		g_hash_table_remove(watch->reported_leaving_ids,
				    &target->target_id);
}

static void update_targets(struct target_watch *watch)
{
	for (uint32_t i = 0; i < rule_set_count(watch->rules); i++) {
		const struct rule *rule = rule_set_at(watch->rules, i);

		for (uint32_t j = 0; j < rule->target_count; j++)
			update_target(watch, &rule->targets[j]);
	}
}

/* Replaces the rules by a copy and reports every leaving target again. */
void target_watch_set_rules(struct target_watch *watch,
			    const struct rule_set *rules)
{
	rule_set_free(watch->rules);
	watch->rules = rule_set_copy(rules);
	g_hash_table_remove_all(watch->reported_leaving_ids);
	update_targets(watch);
}

/* Updates the states from the platform's list, an array of struct target. */
void target_watch_update_from_list(struct target_watch *watch,
				   const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		const struct target *listed =
			&g_array_index(list, struct target, i);
		const struct ip_addr *addr = &listed->endpoint.addr;

		if (listed->state == TARGET_LEAVING)
			g_hash_table_add(watch->leaving_addrs,
					 g_memdup2(addr, sizeof(*addr)));
		else
			g_hash_table_remove(watch->leaving_addrs, addr);
	}
	update_targets(watch);
}
