#ifndef CORE_RELAY_LOADS_H
#define CORE_RELAY_LOADS_H

#include <core/relay_directory.h>

/* How many flows of one node a target has. */
struct relay_load {
	uint32_t tag;
	uint32_t open_count;
};

/*
 * What other nodes said of their open flows. The sums stand in the targets;
 * a node's word counts until its next, or until it is too old.
 */
struct relay_loads;

struct relay_loads *relay_loads_new(struct relay_directory *directory);
void relay_loads_free(struct relay_loads *loads);
void relay_loads_take(struct relay_loads *loads, uint64_t node_id,
		      const struct relay_load *rows, uint32_t row_count,
		      int64_t now_ms);
void relay_loads_sweep(struct relay_loads *loads, int64_t now_ms);

#endif
