#ifndef RELAY_SEEDS_H
#define RELAY_SEEDS_H

#include "relay_ranking.h"

/* Nodes that can be asked before the store has listed any. */
struct relay_seeds;

struct relay_seeds *relay_seeds_new(const struct endpoint *self,
				    uint32_t offset);
void relay_seeds_free(struct relay_seeds *seeds);
void relay_seeds_append(struct relay_seeds *seeds,
			const struct endpoint *endpoint);
bool relay_seeds_prepend(struct relay_seeds *seeds,
			 const struct endpoint *endpoint);
bool relay_seeds_has_others(const struct relay_seeds *seeds);
bool relay_seeds_contains_self(const struct relay_seeds *seeds);
struct relay_candidate *relay_seeds_find(const struct relay_seeds *seeds,
					 const struct endpoint *endpoint);
struct relay_candidate *relay_seeds_pick(const struct relay_seeds *seeds,
					 int64_t now_ms);

#endif
