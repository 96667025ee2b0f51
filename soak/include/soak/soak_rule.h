#ifndef SOAK_SOAK_RULE_H
#define SOAK_SOAK_RULE_H

/* The rules (invariants) that a run is checked against; see docs/SOAK.md. */
enum soak_rule {
	SOAK_RULE_SERVICE,
	SOAK_RULE_DRAIN,
	SOAK_RULE_CONFIG,
	SOAK_RULE_GOES_BACK,
	SOAK_RULE_FLOW_RESET,
	SOAK_RULE_FLOW_MOVED,
	SOAK_RULE_CHANGED,
	SOAK_RULE_RUN_TWICE,
	SOAK_RULE_CALM_FAILURE,
	SOAK_RULE_RECOVERY,
	SOAK_RULE_PROCESS,
	SOAK_RULE_COUNT,
};

const char *soak_rule_name(enum soak_rule rule);

#endif
