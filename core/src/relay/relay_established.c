#include "relay_director_state.h"
#include "relay_flow_match.h"
#include "relay_request.h"
#include "relay_room_keeper.h"
#include "relay_settlement.h"
#include "relay_stall.h"

#include <core/relay_tag.h>

/* How long a request may take whose route states no timeout. */
#define DURATION_MAX_MS 5000

/*
 * Makes a record that of a flow that another node has carried, and reports that
 * this node now carries it. tag identifies the flow's target.
 */
static void take_over(struct relay_director *director, struct relay_flow *flow,
		      const struct relay_packet *packet, uint32_t tag,
		      int64_t now_ms)
{
	const struct relay_callbacks *callbacks = &director->options.callbacks;

	relay_flow_load_remove(director, flow);
	flow->tag = tag;
	flow->first_seen_ms = (uint32_t)now_ms;
	flow->try_count = 0;
	relay_flow_note_packet(flow, packet);
	relay_flow_table_set_state(director->flows, flow, RELAY_FLOW_OPEN);
	relay_stall_begin(flow, packet);
	relay_request_take_over(flow);
	relay_flow_load_add(director, flow);
	callbacks->flow_moved(callbacks->context, flow->hash, flow->tag);
}

/*
 * Sets the flow's target from the tag of the first packet after the opening
 * one, as any of the targets that the opening packet was sent to may have
 * answered.
 */
static void set_final_target(struct relay_director *director,
			     struct relay_flow *flow, uint32_t tag,
			     int64_t now_ms)
{
	relay_settlement_tell_targets(director, flow, tag, now_ms);
	if (tag != flow->tag) {
		relay_flow_load_remove(director, flow);
		flow->tag = tag;
		flow->try_count = RELAY_TRY_COUNT_MAX;
		relay_flow_load_add(director, flow);
	}
	relay_opening_record_answer(director, flow, now_ms);
}

/*
 * Ends the flow if the packet closes it. Returns whether the flow was counted
 * as load of its target until then, so that only the first of several closing
 * packets is reported.
 */
static bool end_if_closing(struct relay_director *director,
			   struct relay_flow *flow,
			   const struct relay_packet *packet)
{
	bool was_counted = flow->is_counted;

	if (!packet->is_closing && !packet->is_reset)
		return false;
	relay_flow_load_remove(director, flow);
	relay_flow_table_set_state(director->flows, flow, RELAY_FLOW_CLOSED);
	return was_counted;
}

/* Returns whether a flow that was open here comes back from another node. */
static bool is_back(const struct relay_flow *flow,
		    const struct relay_packet *packet)
{
	return flow->state == RELAY_FLOW_MOVED && flow->has_opened &&
	       !packet->is_closing && !packet->is_reset;
}

/*
 * Returns the record of the packet's flow, or NULL if the packet goes by its
 * tag alone. A record of another flow between the same ports is replaced, but
 * not by what may be the end of an earlier flow, nor while its own opening
 * packet is unanswered. A flow without a record gets one unless the packet
 * closes it or the table is full; as the tag is enough, none is evicted.
 */
static struct relay_flow *find_or_take_over(struct relay_director *director,
					    const struct relay_packet *packet,
					    int64_t now_ms)
{
	struct hash128 flow_hash = relay_packet_flow_hash(director, packet);
	struct relay_flow *flow =
		relay_flow_table_find(director->flows, flow_hash);

	if (flow && relay_flow_matches(flow, packet)) {
		if (is_back(flow, packet))
			take_over(director, flow, packet, flow->tag, now_ms);
		return flow;
	}
	if (packet->tag == RELAY_TAG_NONE || packet->is_reset)
		return NULL;
	if (packet->is_closing || (flow && flow->state == RELAY_FLOW_OPENING))
		return NULL;
	if (!flow && relay_flow_table_is_full(director->flows))
		return NULL;
	if (!flow)
		flow = relay_flow_table_add(director->flows, flow_hash, now_ms);
	take_over(director, flow, packet, packet->tag, now_ms);
	return flow;
}

/*
 * Records what a packet shows of the requests at the flow's target, before the
 * flow's record is updated. A time beyond the route's timeout is left out. The
 * time counts for the target only if the answer was acknowledged before the
 * flow's end, so that it has several packets: an error is short, and may be
 * answered at once.
 */
static void note_requests(struct relay_director *director,
			  struct relay_flow *flow,
			  const struct relay_packet *packet,
			  int64_t previous_ms, int64_t now_ms)
{
	struct relay_request_event event =
		relay_request_note(flow, packet, previous_ms, now_ms);
	const struct relay_route *route;
	struct relay_target *target;

	if (!event.is_begun && !event.is_ended)
		return;
	target = relay_directory_find(director->directory, flow->tag);
	route = relay_route_table_find(director->routes, &packet->service);
	if (!target || !route)
		return;
	if (event.duration_ms >
	    (route->timeout_ms ? route->timeout_ms : DURATION_MAX_MS))
		event.is_ended = event.is_seen = false;
	if (event.is_begun)
		relay_work_time_add_request(&target->work_time, event.is_first);
	if (event.is_seen && !packet->is_closing)
		relay_work_time_add_duration(&target->work_time,
					     event.duration_ms);
	if (director->room_keeper)
		relay_room_keeper_note_request(director, target,
					       route->priority, &event,
					       &packet->caller.addr, now_ms);
}

/*
 * Updates a flow's record for a packet. An open or closed flow keeps its target
 * even if the tag differs: after a late answer of a second target, the caller
 * echoes the tag of that one.
 */
static void update_flow(struct relay_director *director,
			struct relay_flow *flow,
			const struct relay_packet *packet,
			struct relay_verdict *verdict, int64_t now_ms)
{
	bool has_target = relay_flow_has_target(flow);
	int64_t previous_ms = flow->used_ms;

	relay_flow_table_touch(director->flows, flow, now_ms);
	relay_flow_note_packet(flow, packet);
	if (!has_target && packet->tag != RELAY_TAG_NONE) {
		verdict->is_answered = flow->state == RELAY_FLOW_OPENING;
		verdict->answer_delay_ms = (uint32_t)(now_ms - flow->sent_ms);
		relay_request_start(flow, now_ms);
		set_final_target(director, flow, packet->tag, now_ms);
		relay_stall_begin(flow, packet);
	}
	if (flow->state == RELAY_FLOW_OPEN &&
	    relay_stall_concerns(flow, packet))
		note_requests(director, flow, packet, previous_ms, now_ms);
	verdict->is_closed = end_if_closing(director, flow, packet);
	verdict->flow_age_ms = (uint32_t)now_ms - flow->first_seen_ms;
	verdict->try_count = flow->try_count;
}

static struct relay_verdict give_up_flow(struct relay_director *director,
					 struct relay_flow *flow,
					 const struct relay_target *entry)
{
	struct relay_verdict verdict =
		relay_verdict_reject(RELAY_RESET, REASON_TARGET_LOST);

	verdict.target_id = entry->target.target_id;
	relay_flow_load_remove(director, flow);
	return verdict;
}

/* Decides what to do with a packet after the opening one. */
struct relay_verdict
relay_established_handle_packet(struct relay_director *director,
				const struct relay_packet *packet,
				int64_t now_ms)
{
	struct relay_verdict verdict = {.is_new_decision = false};
	struct relay_target *entry;
	struct relay_flow *flow;
	int64_t previous_ms;

	/*
	 * An address that never had a route here may have one in a later
	 * version of the configuration, which other nodes have already.
	 */
	if (relay_route_table_is_removed(director->routes, &packet->service))
		return relay_verdict_reject(RELAY_RESET, REASON_NO_SERVICE);
	flow = find_or_take_over(director, packet, now_ms);
	previous_ms = flow ? flow->used_ms : now_ms;
	if (flow)
		update_flow(director, flow, packet, &verdict, now_ms);
	entry = relay_directory_find(director->directory,
				     flow ? flow->tag : packet->tag);
	if (!entry)
		return relay_verdict_reject(RELAY_DROP, REASON_TAG_UNKNOWN);
	if (flow && flow->state == RELAY_FLOW_OPEN &&
	    relay_stall_concerns(flow, packet) &&
	    relay_stall_handle_packet(director, flow, entry, packet,
				      previous_ms, now_ms))
		return give_up_flow(director, flow, entry);
	relay_verdict_set_target(&verdict, entry, REASON_TAG);
	return verdict;
}
