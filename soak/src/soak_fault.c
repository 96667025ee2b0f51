#include <soak/soak_fault.h>

#include <string.h>

/*
 * Name, weight, shortest and longest duration. Faults that are frequent in
 * operation have high weights; killing all nodes masks other faults and has a
 * low one. Durations are below and above the timeouts of nodes: watches of
 * 1.8 s, entries that expire after 2 s, router polls of 0.5 s.
 */
static const struct soak_fault_spec specs[] = {
	[SOAK_NODE_KILL] = {"node-kill", 6, 50, 4000},
	[SOAK_NODE_TERMINATE] = {"node-terminate", 8, 50, 4000},
	[SOAK_NODE_PAUSE] = {"node-pause", 6, 100, 8000},
	[SOAK_NODE_SHORT_PAUSE] = {"node-short-pause", 5, 200, 4000},
	[SOAK_NODE_RELOAD] = {"node-reload", 3, 50, 50},
	[SOAK_NODE_LOSS] = {"node-loss", 3, 500, 5000},
	[SOAK_ALL_KILL] = {"all-kill", 1, 50, 1000},
	[SOAK_ROLLING_RESTART] = {"rolling-restart", 2, 3000, 6000},
	[SOAK_LINK_DELAY] = {"link-delay", 3, 500, 6000},
	[SOAK_LINK_RESET] = {"link-reset", 3, 50, 6000},
	[SOAK_LINK_CUT_TO_STORE] = {"link-cut-to-store", 3, 500, 8000},
	[SOAK_LINK_CUT_FROM_STORE] = {"link-cut-from-store", 3, 500, 8000},
	[SOAK_LINK_SILENT] = {"link-silent", 3, 500, 8000},
	[SOAK_STORE_DOWN] = {"store-down", 3, 200, 6000},
	[SOAK_STORE_REFUSES] = {"store-refuses", 2, 200, 6000},
	[SOAK_STORE_SLOW] = {"store-slow", 2, 500, 6000},
	[SOAK_STORE_LOSES_RESPONSES] = {"store-loses-answers", 2, 500, 4000},
	[SOAK_STORE_STALLS_WATCHES] = {"store-stalls-watches", 2, 500, 6000},
	[SOAK_STORE_DROPS_HISTORY] = {"store-drops-history", 2, 50, 50},
	[SOAK_STORE_EXPIRES_ENTRIES] = {"store-lapses-entries", 2, 1000, 6000},
	[SOAK_HOST_REPLACE] = {"host-replace", 8, 50, 50},
	[SOAK_HOST_CRASH] = {"host-crash", 3, 500, 5000},
	[SOAK_HOST_ADDRESS_REUSED] = {"host-address-reused", 2, 50, 50},
	[SOAK_HOST_ENTRY_FOREIGN] = {"host-entry-foreign", 5, 50, 1500},
	[SOAK_ZONE_EVACUATE] = {"zone-evacuate", 4, 500, 9000},
	[SOAK_ROUTE_ADD] = {"route-add", 7, 50, 50},
	[SOAK_ROUTE_REMOVE] = {"route-remove", 6, 50, 50},
	[SOAK_ROUTE_MOVE] = {"route-move", 3, 50, 50},
};

/* Returns a kind's name and the parameters of its random generation. */
const struct soak_fault_spec *soak_fault_spec(enum soak_fault_kind kind)
{
	return &specs[kind];
}

/* Finds a kind by its name; returns false for an unknown name. */
bool soak_fault_find(enum soak_fault_kind *kind, const char *name)
{
	for (int i = 0; i < SOAK_FAULT_KIND_COUNT; i++) {
		if (strcmp(specs[i].name, name) == 0) {
			*kind = (enum soak_fault_kind)i;
			return true;
		}
	}
	return false;
}
