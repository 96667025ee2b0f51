#include <soak/soak_deliberate_fault.h>

#include <glib.h>
#include <string.h>

static const struct soak_deliberate_fault deliberate_faults[] = {
	{"none", FAULTY_NODE_NONE, false, SOAK_RULE_COUNT},
	{"uses-draining", FAULTY_NODE_USES_DRAINING_HOSTS, false,
	 SOAK_RULE_DRAIN},
	{"keeps-routes", FAULTY_NODE_KEEPS_ROUTES, false, SOAK_RULE_CONFIG},
	{"goes-back", FAULTY_NODE_REVERTS_ROUTES, false,
	 SOAK_RULE_VERSION_REVERTED},
	{"resets-open", FAULTY_NODE_RESETS_OPEN_FLOWS, false,
	 SOAK_RULE_FLOW_RESET},
	{"changes-packets", FAULTY_NODE_CORRUPTS_PACKETS, false,
	 SOAK_RULE_PACKET_CORRUPTED},
	{"moves-flows", FAULTY_NODE_MOVES_FLOWS, false,
	 SOAK_RULE_UNDISTURBED_FAILURE},
	{"uses-any-service", FAULTY_NODE_USES_ANY_SERVICE, false,
	 SOAK_RULE_SERVICE},
	{"refuses", FAULTY_NODE_RESETS_NEW_FLOWS, false,
	 SOAK_RULE_UNDISTURBED_FAILURE},
	{"drops", FAULTY_NODE_DROPS_OPENINGS, false,
	 SOAK_RULE_UNDISTURBED_FAILURE},
	{"keeps-records", FAULTY_NODE_KEEPS_RECORDS, false,
	 SOAK_RULE_UNDISTURBED_FAILURE},
	{"ignores-evacuation", FAULTY_NODE_IGNORES_EVACUATION, false,
	 SOAK_RULE_EVACUATION},
	{"trusts-foreign-service", FAULTY_NODE_TRUSTS_FOREIGN_SERVICE, false,
	 SOAK_RULE_SERVICE},
	{"trusts-foreign-state", FAULTY_NODE_TRUSTS_FOREIGN_STATE, false,
	 SOAK_RULE_DRAIN},
	{"repeats-openings", FAULTY_NODE_REPEATS_OPENINGS, false,
	 SOAK_RULE_FLOW_RESET},
	{"host-runs-repeats", FAULTY_NODE_NONE, true,
	 SOAK_RULE_DUPLICATE_EXECUTION},
};

/* Finds a deliberate fault by its name; returns NULL for an unknown name. */
const struct soak_deliberate_fault *soak_deliberate_fault_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(deliberate_faults); i++) {
		if (strcmp(deliberate_faults[i].name, name) == 0)
			return &deliberate_faults[i];
	}
	return NULL;
}

/* Returns the deliberate fault at index, or NULL beyond the last one. */
const struct soak_deliberate_fault *soak_deliberate_fault_at(uint32_t index)
{
	return index < G_N_ELEMENTS(deliberate_faults)
		       ? &deliberate_faults[index]
		       : NULL;
}

/*
 * Returns a schedule of planned changes in which each deliberate fault
 * violates its rule: hosts are drained, a route is removed before others are
 * added, a zone is evacuated, and another writer's entries replace those of a
 * ready and of a draining host.
 */
const char *soak_deliberate_fault_schedule(void)
{
	return "500 route-add 0 50\n"
	       "600 route-add 1 50\n"
	       "1000 host-replace 0 50\n"
	       "2500 route-remove 0 50\n"
	       "3000 route-add 2 50\n"
	       "4000 host-replace 4 50\n"
	       "4500 zone-evacuate 1 6000\n"
	       "5000 host-entry-foreign 2 2000\n"
	       "7500 host-entry-foreign 104 2400\n"
	       "10000 route-add 0 50\n";
}
