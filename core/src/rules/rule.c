#include <core/rule.h>

/* Makes a deep copy; free it with rule_free. */
struct rule *rule_copy(const struct rule *rule)
{
	struct rule *copy = g_memdup2(rule, sizeof(*rule));

	copy->addresses =
		g_memdup2(rule->addresses,
			  rule->address_count * sizeof(*rule->addresses));
	copy->targets = g_memdup2(rule->targets,
				  rule->target_count * sizeof(*rule->targets));
	copy->comment = g_strdup(rule->comment);
	return copy;
}

/* Frees a rule and all it owns; NULL is allowed. */
void rule_free(struct rule *rule)
{
	if (!rule)
		return;
	g_free(rule->addresses);
	g_free(rule->targets);
	g_free(rule->comment);
	g_free(rule);
}
