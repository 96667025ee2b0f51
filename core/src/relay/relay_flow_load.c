#include "relay_director_state.h"

/* Returns the hash of a packet's flow, which is the same on all nodes. */
struct hash128 relay_packet_flow_hash(const struct relay_director *director,
				      const struct relay_packet *packet)
{
	const struct flow_key key = {
		.caller = packet->caller,
		.service = packet->service,
		.protocol = FLOW_PROTOCOL_UDP,
	};

	return flow_key_hash(&key, director->options.flow_seed);
}

/* Adds the flow to the open flows of its target. */
void relay_opening_add_load(struct relay_director *director,
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
void relay_opening_remove_load(struct relay_director *director,
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
