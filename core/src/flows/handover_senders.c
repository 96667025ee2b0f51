#include "handover_senders.h"

#include <core/node.h>
#include <string.h>

static uint32_t position_of(const struct handover_senders *senders,
			    uint64_t node_id)
{
	uint32_t i = 0;

	while (i < HANDOVER_SENDER_COUNT_MAX - 1 &&
	       senders->node_ids[i] != node_id)
		i++;
	return i;
}

/* Records a node as the latest one; the earliest may be forgotten. */
void handover_senders_add(struct handover_senders *senders, uint64_t node_id)
{
	uint32_t position = position_of(senders, node_id);

	memmove(&senders->node_ids[1], &senders->node_ids[0],
		position * sizeof(senders->node_ids[0]));
	senders->node_ids[0] = node_id;
}

/* Returns whether the node, which is not NODE_NONE, is recorded. */
bool handover_senders_contains(const struct handover_senders *senders,
			       uint64_t node_id)
{
	return senders->node_ids[position_of(senders, node_id)] == node_id;
}

/* Returns whether no node is recorded. */
bool handover_senders_is_empty(const struct handover_senders *senders)
{
	return senders->node_ids[0] == NODE_NONE;
}
