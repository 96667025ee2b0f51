#include "relay_director_state.h"

#include <core/relay_choice.h>
#include <string.h>

/*
 * A target that leaves two flows in a row without an answer has stopped or
 * cannot be reached; one may have lost its packet.
 */
static const struct relay_health_limits target_limits = {
	.unanswered_count = 2,
	.avoid_ms = 500,
	.avoid_max_ms = 4000,
};

/* Returns the print of a packet's flow, the same on all nodes. */
struct flow_print relay_packet_print(const struct relay_director *director,
				     const struct relay_packet *packet)
{
	const struct flow_key key = {
		.caller = packet->caller,
		.service = packet->service,
		.protocol = FLOW_PROTOCOL_UDP,
	};

	return flow_key_print(&key, director->options.flow_seed);
}

/* Has a verdict send the packet to a target. */
void relay_verdict_aim(struct relay_verdict *verdict,
		       const struct relay_target *known, enum reason reason)
{
	verdict->action = RELAY_FORWARD;
	verdict->reason = reason;
	verdict->target_id = known->target.target_id;
	verdict->endpoint = known->target.endpoint;
	verdict->tag = known->tag;
}

/* Counts the flow as one of its target's. */
void relay_opening_count(struct relay_director *director,
			 struct relay_flow *flow)
{
	struct relay_target *known =
		relay_directory_find(director->directory, flow->tag);

	if (flow->is_counted || !known)
		return;
	known->own_open_count++;
	relay_flow_table_set_counted(director->flows, flow, true);
}

/* Takes the flow out of its target's count. */
void relay_opening_uncount(struct relay_director *director,
			   struct relay_flow *flow)
{
	struct relay_target *known =
		relay_directory_find(director->directory, flow->tag);

	if (!flow->is_counted)
		return;
	if (known && known->own_open_count > 0)
		known->own_open_count--;
	relay_flow_table_set_counted(director->flows, flow, false);
}

static bool is_zone_avoided(void *context, uint32_t zone_id)
{
	const struct relay_director *director = context;

	return relay_zone_health_is_avoided(director->zones, zone_id,
					    director->now_ms);
}

static uint32_t draw(void *context, uint32_t bound)
{
	struct relay_director *director = context;

	return bound <= 1 ? 0
			  : (uint32_t)g_rand_int_range(director->random, 0,
						       (gint32)bound);
}

/* Draws one of a route's services by weight. */
static uint32_t draw_service(struct relay_director *director,
			     const struct relay_route *route)
{
	uint32_t total = 0;
	uint32_t drawn;

	for (uint32_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	drawn = draw(director, total);
	for (uint32_t i = 0; i < route->share_count; i++) {
		if (drawn < route->shares[i].weight)
			return route->shares[i].service_id;
		drawn -= route->shares[i].weight;
	}
	return route->shares[0].service_id;
}

static struct relay_target *choose(struct relay_director *director,
				   const struct relay_flow *flow,
				   int64_t now_ms)
{
	struct relay_choice_options options = {
		.zone_id = director->options.zone_id,
		.excluded = flow->tried,
		.excluded_count = flow->try_count,
		.context = director,
		.is_zone_avoided = is_zone_avoided,
		.random = draw,
	};

	director->now_ms = now_ms;
	return relay_choice_pick(
		relay_directory_service(director->directory, flow->service_id),
		&options, now_ms);
}

/* Sends the flow's opening packet to a target that is chosen now. */
static struct relay_verdict place(struct relay_director *director,
				  struct relay_flow *flow, enum reason reason,
				  int64_t now_ms)
{
	struct relay_target *known = choose(director, flow, now_ms);
	struct relay_verdict verdict = {
		.action = RELAY_RESET,
		.reason = REASON_NO_TARGET,
		.is_new_decision = true,
	};

	if (!known)
		return verdict;
	relay_opening_uncount(director, flow);
	relay_verdict_aim(&verdict, known, reason);
	verdict.cost_milli = relay_target_cost_milli(known, now_ms);
	flow->tag = known->tag;
	if (flow->try_count < RELAY_TRY_COUNT_MAX)
		flow->tried[flow->try_count++] = known->tag;
	verdict.try_count = flow->try_count;
	relay_opening_count(director, flow);
	relay_flow_table_sent(director->flows, flow, now_ms);
	return verdict;
}

static void note_unanswered(struct relay_director *director,
			    const struct relay_flow *flow, int64_t now_ms)
{
	const struct relay_effects *effects = &director->options.effects;
	struct relay_target *known =
		relay_directory_find(director->directory, flow->tag);

	if (!known)
		return;
	if (relay_health_unanswered(&known->health, &target_limits,
				    flow->sent_ms, now_ms))
		effects->health_changed(effects->context,
					known->target.target_id,
					known->target.zone_id);
	if (relay_zone_health_unanswered(director->zones, known->target.zone_id,
					 known->tag, flow->sent_ms, now_ms))
		effects->health_changed(effects->context, TARGET_NONE,
					known->target.zone_id);
}

static struct relay_verdict
new_flow(struct relay_director *director, struct relay_flow *flow,
	 const struct relay_packet *packet, const struct relay_route *route,
	 const uint8_t *bytes, uint32_t length_bytes, int64_t now_ms)
{
	relay_opening_uncount(director, flow);
	flow->sequence = packet->sequence;
	flow->began_ms = now_ms;
	flow->try_count = 0;
	flow->service_id = draw_service(director, route);
	flow->opening_bytes = 0;
	if (length_bytes <= RELAY_OPENING_BYTES_MAX) {
		memcpy(flow->opening, bytes, length_bytes);
		flow->opening_bytes = (uint8_t)length_bytes;
	}
	return place(director, flow, REASON_LEAST_LOADED, now_ms);
}

/* The caller's own copy: an answer that was late may still be on its way. */
static struct relay_verdict repeat(struct relay_director *director,
				   struct relay_flow *flow, int64_t now_ms)
{
	const struct relay_target *known =
		relay_directory_find(director->directory, flow->tag);
	uint32_t timeout_ms =
		relay_round_trip_timeout_ms(&director->round_trip);
	bool is_due = flow->state != RELAY_FLOW_OPEN &&
		      now_ms - flow->sent_ms >= timeout_ms;
	struct relay_verdict verdict = {.is_new_decision = false};

	if (is_due && flow->state == RELAY_FLOW_OPENING)
		note_unanswered(director, flow, now_ms);
	if (!known || is_due)
		return place(director, flow, REASON_UNANSWERED, now_ms);
	relay_verdict_aim(&verdict, known, REASON_RECORD);
	return verdict;
}

static struct relay_flow *add_flow(struct relay_director *director,
				   struct flow_print print, int64_t now_ms)
{
	struct relay_flow *oldest;

	if (relay_flow_table_is_full(director->flows)) {
		oldest = relay_flow_table_oldest(director->flows);
		relay_opening_uncount(director, oldest);
		relay_flow_table_remove(director->flows, oldest);
	}
	return relay_flow_table_add(director->flows, print, now_ms);
}

/* Decides where the opening packet of a flow goes. */
struct relay_verdict relay_opening_packet(struct relay_director *director,
					  const struct relay_packet *packet,
					  const uint8_t *bytes,
					  uint32_t length_bytes, int64_t now_ms)
{
	struct flow_print print = relay_packet_print(director, packet);
	const struct relay_route *route =
		relay_route_table_find(director->routes, &packet->service);
	struct relay_flow *flow = relay_flow_table_find(director->flows, print);

	if (!route)
		return (struct relay_verdict){.action = RELAY_RESET,
					      .reason = REASON_NO_SERVICE,
					      .is_new_decision = true};
	if (flow && flow->sequence == packet->sequence) {
		relay_flow_table_use(director->flows, flow, now_ms);
		return repeat(director, flow, now_ms);
	}
	if (!flow)
		flow = add_flow(director, print, now_ms);
	relay_flow_table_use(director->flows, flow, now_ms);
	return new_flow(director, flow, packet, route, bytes, length_bytes,
			now_ms);
}

/* Takes the flow's first packet behind the opening one as its target's life. */
void relay_opening_answered(struct relay_director *director,
			    struct relay_flow *flow, int64_t now_ms)
{
	struct relay_target *known =
		relay_directory_find(director->directory, flow->tag);

	if (flow->state == RELAY_FLOW_OPENING && flow->try_count == 1)
		relay_round_trip_add(&director->round_trip,
				     (uint32_t)(now_ms - flow->sent_ms));
	relay_flow_table_settle(director->flows, flow, RELAY_FLOW_OPEN);
	if (!known)
		return;
	relay_health_answered(&known->health, now_ms);
	relay_zone_health_answered(director->zones, known->target.zone_id,
				   now_ms);
}

static void retry(struct relay_director *director, struct relay_flow *flow,
		  int64_t now_ms)
{
	const struct relay_effects *effects = &director->options.effects;
	struct relay_verdict verdict;

	note_unanswered(director, flow, now_ms);
	if (flow->try_count >= RELAY_TRY_COUNT_MAX ||
	    flow->opening_bytes == 0) {
		relay_opening_uncount(director, flow);
		relay_flow_table_settle(director->flows, flow,
					RELAY_FLOW_ENDED);
		return;
	}
	verdict = place(director, flow, REASON_UNANSWERED, now_ms);
	if (verdict.action == RELAY_FORWARD)
		effects->forward_again(effects->context, &verdict,
				       flow->opening, flow->opening_bytes);
	else
		relay_flow_table_settle(director->flows, flow,
					RELAY_FLOW_ENDED);
}

/*
 * Sends opening packets that got no answer to another target. Returns when
 * the next is due, INT64_MAX where none waits.
 */
int64_t relay_opening_retry(struct relay_director *director, int64_t now_ms)
{
	uint32_t timeout_ms =
		relay_round_trip_timeout_ms(&director->round_trip);
	struct relay_flow *flow;

	while ((flow = relay_flow_table_oldest_opening(director->flows))) {
		if (now_ms - flow->sent_ms < timeout_ms)
			return flow->sent_ms + timeout_ms;
		retry(director, flow, now_ms);
	}
	return INT64_MAX;
}
