#include "flow_fleet_state.h"

/* Returns the index of a spare node that has not been used yet. */
uint32_t flow_fleet_next_spare(struct flow_fleet *fleet)
{
	g_assert(fleet->next_spare < fleet->node_count);
	return fleet->next_spare++;
}

static void replace_next(struct flow_fleet *fleet)
{
	while (fleet->replaced_index < fleet->options.node_count &&
	       (fleet->nodes[fleet->replaced_index].is_leaving ||
		!fleet->nodes[fleet->replaced_index].is_running))
		fleet->replaced_index++;
	fleet->is_replacing = fleet->replaced_index < fleet->options.node_count;
	if (!fleet->is_replacing)
		return;
	fleet->successor_index = flow_fleet_next_spare(fleet);
	flow_fleet_join(fleet, fleet->successor_index);
}

/*
 * Starts a rolling replacement of the initial nodes: for each one a spare node
 * joins, then the old one leaves and stops. Nodes that are already leaving or
 * stopped are skipped.
 */
void flow_fleet_replace_all_nodes(struct flow_fleet *fleet)
{
	if (fleet->is_replacing)
		return;
	fleet->replaced_index = 0;
	replace_next(fleet);
}

/* Returns whether a rolling replacement is in progress. */
bool flow_fleet_is_replacing(const struct flow_fleet *fleet)
{
	return fleet->is_replacing;
}

/* Advances a rolling replacement if the nodes involved are ready. */
void flow_fleet_replace_step(struct flow_fleet *fleet)
{
	struct flow_fleet_node *old = &fleet->nodes[fleet->replaced_index];

	if (!fleet->is_replacing)
		return;
	if (!old->is_running)
		replace_next(fleet);
	else if (!old->is_leaving &&
		 flow_fleet_is_serving(fleet, fleet->successor_index))
		flow_fleet_leave(fleet, fleet->replaced_index);
}
