#ifndef SOAK_SOAK_WRONG_H
#define SOAK_SOAK_WRONG_H

#include <fakes/wrong_node.h>
#include <soak/soak_rule.h>
#include <stdbool.h>

/*
 * A deliberate fault of a fake node or of the fake hosts, and the rule that the
 * checker must report as broken. It verifies that the soak detects faults.
 */
struct soak_wrong {
	const char *name;
	enum faulty_node_fault node_fault;
	bool is_host_executing_duplicates;
	/* SOAK_RULE_COUNT if no rule may be broken. */
	enum soak_rule rule;
};

const struct soak_wrong *soak_wrong_find(const char *name);
const struct soak_wrong *soak_wrong_at(uint32_t index);
const char *soak_wrong_schedule(void);

#endif
