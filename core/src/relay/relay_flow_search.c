#include "relay_director_state.h"
#include "relay_flow_match.h"
#include "relay_opening_life.h"
#include "relay_settlement.h"

#include <core/relay_tag.h>

/* Returns whether this node does not know where the flow has opened. */
static bool is_unsettled(const struct relay_flow *flow)
{
	return flow->state == RELAY_FLOW_OPENING ||
	       flow->state == RELAY_FLOW_ENDED;
}

/* Records that another node has a flow, and what its target is there. */
static void settle(struct relay_director *director, struct relay_flow *flow,
		   uint32_t tag, int64_t now_ms)
{
	if (is_unsettled(flow) && tag != RELAY_TAG_NONE)
		relay_settlement_tell_targets(director, flow, tag, now_ms);
	relay_flow_load_remove(director, flow);
	relay_flow_table_set_state(director->flows, flow, RELAY_FLOW_MOVED);
}

/*
 * Handles another node's report that it has taken over a flow: the flow is no
 * longer counted, and its opening packet not resent. tag identifies the flow's
 * target; RELAY_TAG_NONE if the node does not state it.
 */
void relay_director_handle_flow_moved(struct relay_director *director,
				      struct hash128 flow_hash, uint32_t tag,
				      int64_t now_ms)
{
	struct relay_flow *flow =
		relay_flow_table_find(director->flows, flow_hash);

	if (flow && flow->state != RELAY_FLOW_CLOSED)
		settle(director, flow, tag, now_ms);
}

/*
 * Handles another node's word that it has a flow that this node seeks. It comes
 * too late if this node has got the flow's next packet meanwhile.
 */
void relay_director_handle_flow_found(struct relay_director *director,
				      struct hash128 flow_hash, uint32_t tag,
				      int64_t now_ms)
{
	struct relay_flow *flow =
		relay_flow_table_find(director->flows, flow_hash);

	if (flow && is_unsettled(flow))
		settle(director, flow, tag, now_ms);
}

static bool is_sought(const struct relay_flow *flow, int64_t now_ms)
{
	return flow->state == RELAY_FLOW_ENDED && flow->opening_bytes > 0 &&
	       relay_opening_is_pending(flow, now_ms);
}

/*
 * Writes the flows to ask the other nodes for, at most RELAY_SOUGHT_COUNT_MAX,
 * and returns their number. They count as asked for.
 */
uint32_t relay_director_take_sought(struct relay_director *director,
				    struct relay_sought_flow *flows,
				    int64_t now_ms)
{
	struct hash128 hashes[RELAY_SOUGHT_COUNT_MAX];
	uint32_t due_count = relay_sought_take_due(
		director->sought, hashes, RELAY_SOUGHT_COUNT_MAX, now_ms);
	uint32_t count = 0;

	for (uint32_t i = 0; i < due_count; i++) {
		const struct relay_flow *flow =
			relay_flow_table_find(director->flows, hashes[i]);

		if (flow && is_sought(flow, now_ms))
			flows[count++] = (struct relay_sought_flow){
				hashes[i], flow->sequence};
	}
	return count;
}

/*
 * Returns the tag of the target of a flow that another node seeks, or
 * RELAY_TAG_NONE if the flow is not open here.
 */
uint32_t relay_director_find_tag(struct relay_director *director,
				 const struct relay_sought_flow *sought)
{
	const struct relay_flow *flow =
		relay_flow_table_find(director->flows, sought->hash);

	return flow && flow->state == RELAY_FLOW_OPEN &&
			       relay_flow_is_near(sought->sequence,
						  flow->last_sequence)
		       ? flow->tag
		       : RELAY_TAG_NONE;
}
