#ifndef CORE_RELAY_LOADS_H
#define CORE_RELAY_LOADS_H

#include <core/relay_directory.h>

/* The number of open flows from one node to a target. */
struct relay_load {
	uint32_t tag;
	uint32_t open_count;
};

/*
 * The latest load report of each other node, which replaces the node's previous
 * one and expires if the node sends no further one. The sum of the reported
 * open flows is kept in peer_open_count of each target.
 */
struct relay_loads;

struct relay_loads *relay_loads_new(struct relay_directory *directory);
void relay_loads_free(struct relay_loads *loads);
void relay_loads_update(struct relay_loads *loads, uint64_t node_id,
			const struct relay_load *rows, uint32_t row_count,
			int64_t valid_until_ms);
uint32_t relay_loads_collect(struct relay_loads *loads, struct relay_load *rows,
			     uint32_t row_count_max);
void relay_loads_sweep(struct relay_loads *loads, int64_t now_ms);

#endif
