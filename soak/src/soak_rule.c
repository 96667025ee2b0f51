#include <soak/soak_rule.h>

static const char *const names[] = {
	[SOAK_RULE_SERVICE] = "service",
	[SOAK_RULE_DRAIN] = "drain",
	[SOAK_RULE_EVACUATION] = "evacuation",
	[SOAK_RULE_CONFIG] = "config",
	[SOAK_RULE_VERSION_REVERTED] = "goes-back",
	[SOAK_RULE_FLOW_RESET] = "flow-reset",
	[SOAK_RULE_FLOW_MOVED] = "flow-moved",
	[SOAK_RULE_PACKET_CORRUPTED] = "changed",
	[SOAK_RULE_DUPLICATE_EXECUTION] = "run-twice",
	[SOAK_RULE_UNDISTURBED_FAILURE] = "calm-failure",
	[SOAK_RULE_RECOVERY] = "recovery",
	[SOAK_RULE_PROCESS] = "process",
};

/* Returns the name of a rule as printed in reports. */
const char *soak_rule_name(enum soak_rule rule)
{
	return names[rule];
}
