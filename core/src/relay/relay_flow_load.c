#include "relay_director_state.h"

/* Adds the flow to the open flows of its target. */
void relay_flow_load_add(struct relay_director *director,
			 struct relay_flow *flow)
{
	struct relay_target *entry =
		relay_directory_find(director->directory, flow->tag);

	if (flow->is_counted || !entry)
		return;
	relay_directory_add_open_flow(director->directory, entry);
	relay_flow_table_set_counted(director->flows, flow, true);
}

/* Removes the flow from the open flows of its target. */
void relay_flow_load_remove(struct relay_director *director,
			    struct relay_flow *flow)
{
	struct relay_target *entry =
		relay_directory_find(director->directory, flow->tag);

	if (!flow->is_counted)
		return;
	if (entry && entry->own_open_count > 0)
		entry->own_open_count--;
	relay_flow_table_set_counted(director->flows, flow, false);
}
