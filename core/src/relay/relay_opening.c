#include "relay_cold_targets.h"
#include "relay_director_state.h"
#include "relay_flow_match.h"
#include "relay_opening_life.h"
#include "relay_room_keeper.h"
#include "relay_selection.h"

#include <core/relay_tag.h>

/*
 * A target that leaves two opening packets in a row unanswered has stopped or
 * cannot be reached; a single packet may just have been lost.
 */
static const struct relay_health_limits target_limits = {
	.unanswered_threshold = 2,
	.avoid_ms = 500,
	.avoid_max_ms = 4000,
};

/* A check of an unanswered opening packet is at most this late. */
#define LATE_CHECK_MS 100

/*
 * Ends an opening that no target has answered. A target may have the flow all
 * the same, if the caller's next packet went to another node.
 */
static void end_opening(struct relay_director *director,
			struct relay_flow *flow, int64_t now_ms)
{
	relay_flow_load_remove(director, flow);
	relay_flow_table_set_state(director->flows, flow, RELAY_FLOW_ENDED);
	if (flow->try_count > 0)
		relay_sought_add(director->sought, flow->hash, now_ms);
}

/*
 * Resets a flow that no target can take. Its opening packet is not sent later:
 * the caller tries again by itself.
 */
static struct relay_verdict refuse(struct relay_director *director,
				   struct relay_flow *flow, int64_t now_ms)
{
	struct relay_verdict verdict = {
		.action = RELAY_RESET,
		.reason = REASON_WARMUP_LIMIT,
		.is_new_decision = true,
	};

	if (!director->is_rate_met)
		verdict.reason = relay_selection_refusal(
			director, flow->service_id, now_ms);
	if (verdict.reason != REASON_WARMUP_LIMIT)
		relay_isolation_record_failure(director->isolation);
	end_opening(director, flow, now_ms);
	return verdict;
}

/*
 * Chooses a target for a flow. Returns the verdict that forwards the opening
 * packet to it, or one that resets the flow if there is no target, or none
 * whose warm-up allows it.
 */
static struct relay_verdict assign_target(struct relay_director *director,
					  struct relay_flow *flow,
					  enum reason reason, int64_t now_ms)
{
	struct relay_target *entry =
		relay_selection_choose(director, flow, now_ms);
	struct relay_verdict verdict = {.is_new_decision = true};

	if (!entry)
		return refuse(director, flow, now_ms);
	if (reason == REASON_LEAST_LOADED && director->is_in_turn)
		reason = REASON_IN_TURN;
	relay_flow_load_remove(director, flow);
	relay_verdict_set_target(&verdict, entry, reason);
	verdict.is_cold = relay_cold_targets_use(director, entry, now_ms);
	verdict.cost_milli = relay_target_cost_milli(entry, now_ms);
	flow->tag = entry->tag;
	if (flow->try_count < RELAY_TRY_COUNT_MAX)
		flow->tried_tags[flow->try_count++] = entry->tag;
	verdict.try_count = flow->try_count;
	relay_flow_load_add(director, flow);
	relay_flow_table_mark_sent(director->flows, flow, now_ms);
	return verdict;
}

/* Records that the target did not answer the flow's opening packet in time. */
static void record_timeout(struct relay_director *director,
			   const struct relay_flow *flow, int64_t now_ms)
{
	const struct relay_callbacks *callbacks = &director->options.callbacks;
	struct relay_target *entry =
		relay_directory_find(director->directory, flow->tag);

	relay_isolation_record_failure(director->isolation);
	if (!entry)
		return;
	if (relay_health_record_timeout(&entry->health, &target_limits,
					flow->sent_ms, now_ms))
		callbacks->avoidance_started(callbacks->context,
					     entry->target.target_id,
					     entry->target.zone_id);
	if (relay_zone_health_record_timeout(director->zone_health,
					     entry->target.zone_id, entry->tag,
					     flow->sent_ms, now_ms))
		callbacks->avoidance_started(callbacks->context, TARGET_NONE,
					     entry->target.zone_id);
}

static struct relay_verdict open_flow(struct relay_director *director,
				      struct relay_flow *flow,
				      const struct relay_packet *packet,
				      uint32_t service_id, const uint8_t *bytes,
				      uint32_t length_bytes, int64_t now_ms)
{
	relay_flow_load_remove(director, flow);
	flow->tag = RELAY_TAG_NONE;
	flow->sequence = packet->sequence;
	relay_flow_note_packet(flow, packet);
	flow->first_seen_ms = (uint32_t)now_ms;
	flow->try_count = 0;
	flow->service_id = service_id;
	relay_flow_table_set_opening(flow, bytes, length_bytes);
	return assign_target(director, flow, REASON_LEAST_LOADED, now_ms);
}

/* Returns whether a flow that is not open yet must not open at its target. */
static bool must_leave(const struct relay_director *director,
		       const struct relay_flow *flow,
		       const struct relay_target *entry)
{
	return flow->state != RELAY_FLOW_OPEN &&
	       relay_selection_is_evacuated(director, entry);
}

/*
 * Chooses another target for an opening packet that the caller sent again. If
 * there is none, the packet is dropped instead of the flow being reset: a
 * target that an earlier copy reached may have the flow.
 */
static struct relay_verdict assign_again(struct relay_director *director,
					 struct relay_flow *flow,
					 const uint8_t *bytes,
					 uint32_t length_bytes,
					 enum reason reason, int64_t now_ms)
{
	bool may_be_open = flow->try_count > 0;
	struct relay_verdict verdict;

	relay_flow_table_set_opening(flow, bytes, length_bytes);
	verdict = assign_target(director, flow, reason, now_ms);
	if (verdict.action == RELAY_RESET && may_be_open)
		verdict.action = RELAY_DROP;
	return verdict;
}

/*
 * Gives a flow that is not open yet another service if its route no longer
 * leads to the present one. Returns whether it did.
 */
static bool change_service(struct relay_director *director,
			   struct relay_flow *flow,
			   const struct relay_route *route)
{
	uint32_t service_id;

	if (flow->state == RELAY_FLOW_OPEN ||
	    relay_route_leads_to(route, flow->service_id))
		return false;
	service_id = relay_selection_pick_service(director, route);
	if (service_id == flow->service_id)
		return false;
	flow->service_id = service_id;
	return true;
}

/*
 * Handles an opening packet that the caller sent again. It goes to the same
 * target, whose answer may still be in transit, until the timeout has passed
 * without an answer, the zone of the target is evacuated or the route leads to
 * another service; then to another one. It is dropped if the target's warm-up
 * does not allow it: the first copy may still be answered.
 */
static struct relay_verdict
handle_retransmission(struct relay_director *director, struct relay_flow *flow,
		      const struct relay_route *route, const uint8_t *bytes,
		      uint32_t length_bytes, int64_t now_ms)
{
	struct relay_target *entry =
		relay_directory_find(director->directory, flow->tag);
	uint32_t timeout_ms =
		relay_round_trip_timeout_ms(&director->round_trip);
	bool is_due = flow->state != RELAY_FLOW_OPEN &&
		      now_ms - flow->sent_ms >= timeout_ms;
	struct relay_verdict verdict = {.is_new_decision = false};

	if (is_due && flow->state == RELAY_FLOW_OPENING)
		record_timeout(director, flow, now_ms);
	if (change_service(director, flow, route))
		return assign_again(director, flow, bytes, length_bytes,
				    REASON_ROUTE_CHANGED, now_ms);
	if (!entry || is_due)
		return assign_again(director, flow, bytes, length_bytes,
				    REASON_UNANSWERED, now_ms);
	if (must_leave(director, flow, entry))
		return assign_again(director, flow, bytes, length_bytes,
				    REASON_EVACUATED, now_ms);
	if (!relay_cold_targets_may_send(director, entry, now_ms))
		return (struct relay_verdict){.action = RELAY_DROP,
					      .reason = REASON_WARMUP_LIMIT,
					      .is_new_decision = true};
	relay_verdict_set_target(&verdict, entry, REASON_RECORD);
	verdict.is_cold = relay_cold_targets_use(director, entry, now_ms);
	return verdict;
}

static struct relay_flow *add_flow(struct relay_director *director,
				   struct hash128 flow_hash, int64_t now_ms)
{
	struct relay_flow *evicted;

	if (relay_flow_table_is_full(director->flows)) {
		evicted = relay_flow_table_eviction_candidate(director->flows);
		relay_flow_load_remove(director, evicted);
		relay_flow_table_remove(director->flows, evicted);
	}
	return relay_flow_table_add(director->flows, flow_hash, now_ms);
}

/* Resets a new flow for which there is no room. It leaves no record. */
static struct relay_verdict turn_away(struct relay_director *director,
				      struct relay_flow *flow,
				      enum reason reason)
{
	if (flow) {
		relay_flow_load_remove(director, flow);
		relay_flow_table_remove(director->flows, flow);
	}
	return (struct relay_verdict){.action = RELAY_RESET,
				      .reason = reason,
				      .is_new_decision = true};
}

/*
 * Opens a new flow if its service has room for it. flow is the record of an
 * earlier flow between the same ports, or NULL.
 */
static struct relay_verdict
admit(struct relay_director *director, struct relay_flow *flow,
      const struct relay_packet *packet, const struct relay_route *route,
      const uint8_t *bytes, uint32_t length_bytes, int64_t now_ms)
{
	uint32_t service_id = relay_selection_pick_service(director, route);
	enum reason reason = REASON_ADMITTED;

	if (director->room_keeper)
		reason = relay_room_keeper_check(director->room_keeper,
						 service_id, route->priority,
						 &packet->caller.addr, now_ms);
	if (reason != REASON_ADMITTED)
		return turn_away(director, flow, reason);
	if (!flow)
		flow = add_flow(director,
				relay_packet_flow_hash(director, packet),
				now_ms);
	relay_flow_table_touch(director->flows, flow, now_ms);
	relay_opening_renew(flow, packet, now_ms);
	return open_flow(director, flow, packet, service_id, bytes,
			 length_bytes, now_ms);
}

/* Decides what to do with an opening packet. */
struct relay_verdict relay_opening_handle_packet(
	struct relay_director *director, const struct relay_packet *packet,
	const uint8_t *bytes, uint32_t length_bytes, int64_t now_ms)
{
	struct hash128 flow_hash = relay_packet_flow_hash(director, packet);
	const struct relay_route *route =
		relay_route_table_find(director->routes, &packet->service);
	struct relay_flow *flow =
		relay_flow_table_find(director->flows, flow_hash);

	if (!route)
		return (struct relay_verdict){.action = RELAY_RESET,
					      .reason = REASON_NO_SERVICE,
					      .is_new_decision = true};
	if (flow && flow->sequence == packet->sequence &&
	    (flow->state == RELAY_FLOW_CLOSED ||
	     flow->state == RELAY_FLOW_MOVED))
		return (struct relay_verdict){.action = RELAY_DROP,
					      .reason = REASON_STALE_PACKET,
					      .is_new_decision = true};
	if (flow && flow->sequence == packet->sequence) {
		relay_flow_table_touch(director->flows, flow, now_ms);
		relay_opening_renew(flow, packet, now_ms);
		return handle_retransmission(director, flow, route, bytes,
					     length_bytes, now_ms);
	}
	return admit(director, flow, packet, route, bytes, length_bytes,
		     now_ms);
}

/*
 * Handles a flow's first packet after the opening one, which shows that the
 * target has answered.
 */
void relay_opening_record_answer(struct relay_director *director,
				 struct relay_flow *flow, int64_t now_ms)
{
	struct relay_target *entry =
		relay_directory_find(director->directory, flow->tag);

	if (flow->state == RELAY_FLOW_OPENING && flow->try_count == 1)
		relay_round_trip_add(&director->round_trip,
				     (uint32_t)(now_ms - flow->sent_ms));
	if (flow->state == RELAY_FLOW_OPENING && entry)
		relay_silence_record_life(director->silence,
					  entry->target.zone_id, flow->sent_ms,
					  now_ms);
	if (flow->state == RELAY_FLOW_OPENING && entry)
		relay_target_silence_record_life(director->target_silence,
						 entry, flow->sent_ms,
						 flow->try_count == 1, now_ms);
	relay_flow_table_set_state(director->flows, flow, RELAY_FLOW_OPEN);
	if (!entry)
		return;
	relay_health_record_answer(&entry->health, now_ms);
	relay_zone_health_record_answer(director->zone_health,
					entry->target.zone_id, now_ms);
}

/*
 * Returns whether the flow's opening packet may be sent to another target: not
 * if another node may have the flow, nor after RELAY_TRY_COUNT_MAX targets.
 */
static bool may_resend(const struct relay_director *director,
		       const struct relay_flow *flow, int64_t now_ms)
{
	return flow->try_count < RELAY_TRY_COUNT_MAX &&
	       flow->opening_bytes > 0 &&
	       relay_opening_is_current(flow, now_ms) &&
	       relay_rotation_is_member(&director->rotation, now_ms);
}

/*
 * Resends an unanswered opening packet, to another target if there is one. Ends
 * the flow if it may not be resent or no target accepts new flows. A
 * target is not blamed if this node itself stood still meanwhile.
 */
static void resend_or_end(struct relay_director *director,
			  struct relay_flow *flow, uint32_t timeout_ms,
			  int64_t now_ms)
{
	const struct relay_callbacks *callbacks = &director->options.callbacks;
	struct relay_verdict verdict;

	if (now_ms - flow->sent_ms < timeout_ms + LATE_CHECK_MS)
		record_timeout(director, flow, now_ms);
	if (!may_resend(director, flow, now_ms)) {
		end_opening(director, flow, now_ms);
		return;
	}
	verdict = assign_target(director, flow, REASON_UNANSWERED, now_ms);
	if (verdict.action == RELAY_FORWARD)
		callbacks->resend_opening(callbacks->context, &verdict,
					  flow->opening, flow->opening_bytes);
}

/*
 * Resends the unanswered opening packets whose timeout has passed. Returns when
 * the next one is due, INT64_MAX if there is none.
 */
int64_t relay_opening_resend_due(struct relay_director *director,
				 int64_t now_ms)
{
	uint32_t timeout_ms =
		relay_round_trip_timeout_ms(&director->round_trip);
	struct relay_flow *flow;

	while ((flow = relay_flow_table_oldest_opening(director->flows))) {
		if (now_ms - flow->sent_ms < timeout_ms)
			return flow->sent_ms + timeout_ms;
		resend_or_end(director, flow, timeout_ms, now_ms);
	}
	return INT64_MAX;
}
