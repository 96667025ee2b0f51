#ifndef HANDOVER_SENDERS_H
#define HANDOVER_SENDERS_H

#include <stdbool.h>
#include <stdint.h>

#define HANDOVER_SENDER_COUNT_MAX 4

/*
 * The nodes that have completed their handover of a slot to this node, the last
 * ones of them, from the latest to the earliest. Unused places are NODE_NONE.
 */
struct handover_senders {
	uint64_t node_ids[HANDOVER_SENDER_COUNT_MAX];
};

void handover_senders_add(struct handover_senders *senders, uint64_t node_id);
bool handover_senders_contains(const struct handover_senders *senders,
			       uint64_t node_id);
bool handover_senders_is_empty(const struct handover_senders *senders);

#endif
