#ifndef SOAK_SOAK_WRONG_H
#define SOAK_SOAK_WRONG_H

#include <fakes/faulty_node.h>
#include <soak/soak_rule.h>
#include <stdbool.h>

/* A deliberate fault and the rule that must be found broken by it. */
struct soak_wrong {
	const char *name;
	enum faulty_node_fault node_fault;
	bool is_host_running_repeats;
	/* SOAK_RULE_COUNT: none; the fault is the stand-in node alone. */
	enum soak_rule rule;
};

const struct soak_wrong *soak_wrong_find(const char *name);
const struct soak_wrong *soak_wrong_at(uint32_t index);
const char *soak_wrong_schedule(void);

#endif
