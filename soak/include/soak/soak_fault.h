#ifndef SOAK_SOAK_FAULT_H
#define SOAK_SOAK_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/* The kinds of faults and changes that a schedule consists of. */
enum soak_fault_kind {
	SOAK_NODE_KILL,
	SOAK_NODE_TERMINATE,
	SOAK_NODE_PAUSE,
	SOAK_NODE_SHORT_PAUSE,
	SOAK_NODE_RELOAD,
	SOAK_NODE_LOSS,
	SOAK_ALL_KILL,
	SOAK_ROLLING_RESTART,
	SOAK_LINK_DELAY,
	SOAK_LINK_RESET,
	SOAK_LINK_CUT_TO_STORE,
	SOAK_LINK_CUT_FROM_STORE,
	SOAK_LINK_SILENT,
	SOAK_STORE_DOWN,
	SOAK_STORE_REFUSES,
	SOAK_STORE_SLOW,
	SOAK_STORE_LOSES_RESPONSES,
	SOAK_STORE_STALLS_WATCHES,
	SOAK_STORE_DROPS_HISTORY,
	SOAK_STORE_EXPIRES_ENTRIES,
	SOAK_HOST_REPLACE,
	SOAK_HOST_CRASH,
	SOAK_HOST_ADDRESS_REUSED,
	SOAK_HOST_ENTRY_FOREIGN,
	SOAK_ZONE_EVACUATE,
	SOAK_ROUTE_ADD,
	SOAK_ROUTE_REMOVE,
	SOAK_ROUTE_MOVE,
	SOAK_FAULT_KIND_COUNT,
};

/*
 * One fault. subject selects the node, host, zone, route or service that it
 * affects, modulo their number.
 */
struct soak_fault {
	uint32_t at_ms;
	enum soak_fault_kind kind;
	uint32_t subject;
	uint32_t duration_ms;
};

/*
 * The name of a kind in schedules, and how it is drawn at random: weight is its
 * relative frequency.
 */
struct soak_fault_spec {
	const char *name;
	uint32_t weight;
	uint32_t duration_min_ms;
	uint32_t duration_max_ms;
};

const struct soak_fault_spec *soak_fault_spec(enum soak_fault_kind kind);
bool soak_fault_find(enum soak_fault_kind *kind, const char *name);

#endif
