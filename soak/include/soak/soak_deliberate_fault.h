#ifndef SOAK_SOAK_DELIBERATE_FAULT_H
#define SOAK_SOAK_DELIBERATE_FAULT_H

#include <fakes/faulty_node.h>
#include <soak/soak_rule.h>
#include <stdbool.h>

/*
 * A deliberate fault of a fake node or of the fake hosts, and the rule whose
 * violation the checker must report. It verifies that the soak detects faults.
 */
struct soak_deliberate_fault {
	const char *name;
	enum faulty_node_fault node_fault;
	bool are_hosts_executing_duplicates;
	/* SOAK_RULE_COUNT if no violation may be reported. */
	enum soak_rule rule;
};

const struct soak_deliberate_fault *
soak_deliberate_fault_find(const char *name);
const struct soak_deliberate_fault *soak_deliberate_fault_at(uint32_t index);
const char *soak_deliberate_fault_schedule(void);

#endif
