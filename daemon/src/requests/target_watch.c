#include "target_watch.h"

#include <core/target.h>

/* leaving has the addresses of VMs whose target leaves, posted the targets told
 * of. */
struct target_watch {
	struct target_watch_options options;
	struct rule_set *rules;
	GHashTable *leaving;
	GHashTable *posted;
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

/* Makes a watch without rules; free it with target_watch_free. */
struct target_watch *
target_watch_new(const struct target_watch_options *options)
{
	struct target_watch *watch = g_new0(struct target_watch, 1);

	watch->options = *options;
	watch->rules = rule_set_new(0);
	watch->leaving =
		g_hash_table_new_full(addr_hash, addr_equal, g_free, NULL);
	watch->posted = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	return watch;
}

/* Frees the watch; NULL is allowed. */
void target_watch_free(struct target_watch *watch)
{
	if (!watch)
		return;
	rule_set_free(watch->rules);
	g_hash_table_destroy(watch->leaving);
	g_hash_table_destroy(watch->posted);
	g_free(watch);
}

/* Tells of a target whose state is another than was told last. */
static void update_target(struct target_watch *watch,
			  const struct target *target)
{
	bool is_leaving =
		g_hash_table_contains(watch->leaving, &target->endpoint.addr);
	bool was_leaving =
		g_hash_table_contains(watch->posted, &target->target_id);

	if (is_leaving == was_leaving ||
	    !watch->options.on_state(watch->options.context, target->target_id,
				     is_leaving ? TARGET_LEAVING
						: TARGET_SERVING))
		return;
	if (is_leaving)
		g_hash_table_add(watch->posted,
				 g_memdup2(&target->target_id,
					   sizeof(target->target_id)));
	else
		g_hash_table_remove(watch->posted, &target->target_id);
}

static void update(struct target_watch *watch)
{
	for (uint32_t i = 0; i < rule_set_count(watch->rules); i++) {
		const struct rule *rule = rule_set_at(watch->rules, i);

		for (uint32_t j = 0; j < rule->target_count; j++)
			update_target(watch, &rule->targets[j]);
	}
}

/* Takes the rules in force; leaving targets are told of again. */
void target_watch_set_rules(struct target_watch *watch,
			    const struct rule_set *rules)
{
	rule_set_free(watch->rules);
	watch->rules = rule_set_copy(rules);
	g_hash_table_remove_all(watch->posted);
	update(watch);
}

/* Takes targets as the platform lists them, struct target. */
void target_watch_take_list(struct target_watch *watch, const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		const struct target *listed =
			&g_array_index(list, struct target, i);
		const struct ip_addr *addr = &listed->endpoint.addr;

		if (listed->state == TARGET_LEAVING)
			g_hash_table_add(watch->leaving,
					 g_memdup2(addr, sizeof(*addr)));
		else
			g_hash_table_remove(watch->leaving, addr);
	}
	update(watch);
}
