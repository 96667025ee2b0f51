#ifndef RELAY_SOUGHT_H
#define RELAY_SOUGHT_H

#include <core/flow_key.h>
#include <stdint.h>

/*
 * The flows that a node seeks at the other nodes: it has sent their opening
 * packets to targets and has not seen their next packets, so another node may
 * have them.
 */
struct relay_sought;

struct relay_sought *relay_sought_new(void);
void relay_sought_free(struct relay_sought *sought);
void relay_sought_add(struct relay_sought *sought, struct hash128 flow_hash,
		      int64_t now_ms);
uint32_t relay_sought_take_due(struct relay_sought *sought,
			       struct hash128 *flow_hashes,
			       uint32_t flow_count_max, int64_t now_ms);

#endif
