#include "flow_fleet_state.h"

/* Takes a spare node that was not used yet. */
uint32_t flow_fleet_next_spare(struct flow_fleet *fleet)
{
	g_assert(fleet->next_spare < fleet->node_count);
	return fleet->next_spare++;
}

static void replace_next(struct flow_fleet *fleet)
{
	while (fleet->replaced < fleet->options.node_count &&
	       (fleet->nodes[fleet->replaced].is_leaving ||
		!fleet->nodes[fleet->replaced].is_running))
		fleet->replaced++;
	fleet->is_replacing = fleet->replaced < fleet->options.node_count;
	if (!fleet->is_replacing)
		return;
	fleet->successor = flow_fleet_next_spare(fleet);
	flow_fleet_join(fleet, fleet->successor);
}

/*
 * Replaces all nodes of the start one after another: the next one joins, the
 * old one leaves and stops, as far as it was not told to leave before.
 */
void flow_fleet_replace_all(struct flow_fleet *fleet)
{
	if (fleet->is_replacing)
		return;
	fleet->replaced = 0;
	replace_next(fleet);
}

/* Tells whether a rolling replacement is still going on. */
bool flow_fleet_is_replacing(const struct flow_fleet *fleet)
{
	return fleet->is_replacing;
}

/* Goes on with a rolling replacement as far as the nodes are ready. */
void fleet_replace_step(struct flow_fleet *fleet)
{
	struct fleet_node *old = &fleet->nodes[fleet->replaced];

	if (!fleet->is_replacing)
		return;
	if (!old->is_running)
		replace_next(fleet);
	else if (!old->is_leaving &&
		 flow_fleet_is_serving(fleet, fleet->successor))
		flow_fleet_leave(fleet, fleet->replaced);
}
