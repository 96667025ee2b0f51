#include "flow_fleet_state.h"

#include <core/target_rank.h>
#include <netinet/in.h>

#define MS_PER_S 1000
/* The long flows are opened evenly over the first steps. */
#define RAMP_STEPS 50
#define SHORT_FLOW_LIFETIME_MS 8000
#define SHORT_FLOW_INTERVAL_MS 3000
#define LONG_FLOW_INTERVAL_MS 5000
/*
 * One in QUIET_FLOW_EVERY long flows sends at the longer
 * QUIET_FLOW_INTERVAL_MS.
 */
#define QUIET_FLOW_INTERVAL_MS 30000
#define QUIET_FLOW_EVERY 5
#define SECOND_SERVICE_EVERY 16
#define RETRY_DELAY_MS 1000
/*
 * Delay between the first and the second packet of a flow, as in a TCP
 * handshake.
 */
#define HANDSHAKE_DELAY_MS 200
/* A flow is broken after this many drops in succession. */
#define BROKEN_DROP_COUNT 8
#define FORWARDS_MAX 2
/* Time after which every node must know that a target is leaving. */
#define LEAVING_NOTICE_MS 4000
#define CALLER_FIRST 0x0b000000U

/* Creates the table of flows and the timing wheel of their packets. */
void flow_fleet_traffic_init(struct flow_fleet *fleet)
{
	fleet->flows = g_array_new(FALSE, TRUE, sizeof(struct flow_fleet_flow));
	fleet->free_flows = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < WHEEL_SLOT_COUNT; i++)
		fleet->wheel[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

/* Frees what flow_fleet_traffic_init created. */
void flow_fleet_traffic_free(struct flow_fleet *fleet)
{
	g_array_free(fleet->flows, TRUE);
	g_array_free(fleet->free_flows, TRUE);
	for (uint32_t i = 0; i < WHEEL_SLOT_COUNT; i++)
		g_array_free(fleet->wheel[i], TRUE);
}

static struct flow_fleet_flow *flow_at(struct flow_fleet *fleet, uint32_t index)
{
	return &g_array_index(fleet->flows, struct flow_fleet_flow, index);
}

static void schedule_packet(struct flow_fleet *fleet, uint32_t index,
			    uint32_t delay_ms)
{
	int64_t due_step = (fleet->now_ms + MAX(delay_ms, STEP_MS)) / STEP_MS;

	g_array_append_val(fleet->wheel[due_step % WHEEL_SLOT_COUNT], index);
}

static uint32_t allocate_flow(struct flow_fleet *fleet)
{
	uint32_t index;

	if (fleet->free_flows->len > 0) {
		index = g_array_index(fleet->free_flows, uint32_t,
				      fleet->free_flows->len - 1);
		g_array_set_size(fleet->free_flows, fleet->free_flows->len - 1);
		return index;
	}
	g_array_set_size(fleet->flows, fleet->flows->len + 1);
	return fleet->flows->len - 1;
}

static void open_flow(struct flow_fleet *fleet, bool is_long)
{
	uint32_t index = allocate_flow(fleet);
	struct flow_fleet_flow *flow = flow_at(fleet, index);
	bool is_quiet = fleet->next_number % QUIET_FLOW_EVERY == 0;

	*flow = (struct flow_fleet_flow){
		.number = fleet->next_number++,
		.is_open = true,
		.end_ms = is_long ? INT64_MAX
				  : fleet->now_ms + SHORT_FLOW_LIFETIME_MS,
		.interval_ms = SHORT_FLOW_INTERVAL_MS,
	};
	flow->service = flow->number % SECOND_SERVICE_EVERY == 0;
	if (is_long)
		flow->interval_ms = is_quiet ? QUIET_FLOW_INTERVAL_MS
					     : LONG_FLOW_INTERVAL_MS;
	g_array_append_val(
		fleet->wheel[fleet->now_ms / STEP_MS % WHEEL_SLOT_COUNT],
		index);
}

static uint32_t random_node(struct flow_fleet *fleet)
{
	GRand *rand = driver_rand(fleet->driver);
	uint32_t node;

	do {
		node = (uint32_t)g_rand_int_range(rand, 0,
						  (gint32)fleet->node_count);
	} while (!fleet->nodes[node].is_receiving);
	return node;
}

static struct packet_event make_event(const struct flow_fleet_flow *flow,
				      bool is_first)
{
	struct packet_event event = {.kind = PACKET_MIDDLE};

	event.key.protocol = IPPROTO_TCP;
	event.key.caller.addr = ip_addr_from_v4(CALLER_FIRST + flow->number);
	event.key.caller.port = 1000;
	event.key.service = flow_fleet_service_address(flow->service);
	if (is_first)
		event.kind = PACKET_FIRST;
	return event;
}

static uint32_t node_index_of(uint64_t node_id)
{
	return (uint32_t)(node_id - 1);
}

/* The hash-only baseline keeps no flow records and places every packet anew. */
static struct placement route_by_hash(struct flow_fleet *fleet,
				      const struct flow_fleet_flow *flow,
				      uint32_t node)
{
	struct packet_event event = make_event(flow, !flow->is_placed);
	const struct rule *rule;
	const struct target *target;

	if (!fleet->nodes[node].rules)
		return (struct placement){.kind = PLACE_DROP};
	rule = rule_set_by_address(fleet->nodes[node].rules,
				   &event.key.service);
	target = target_rank_first(rule->targets, rule->target_count,
				   flow_key_hash(&event.key, 0));
	return (struct placement){
		.kind = PLACE_TO_TARGET,
		.reason = REASON_TABLE_DEFAULT,
		.target_id = target->target_id,
		.endpoint = target->endpoint,
	};
}

/* Forwards a packet from node to node until one places or drops it. */
static struct placement route_packet(struct flow_fleet *fleet,
				     const struct flow_fleet_flow *flow,
				     bool is_first, uint32_t *at_node)
{
	struct packet_event event = make_event(flow, is_first);
	struct placement placement = {.kind = PLACE_DROP};
	uint32_t node = random_node(fleet);

	for (uint32_t hop = 0; hop <= FORWARDS_MAX; hop++) {
		if (!fleet->nodes[node].is_running ||
		    fleet->nodes[node].is_paused)
			return (struct placement){.kind = PLACE_DROP};
		*at_node = node;
		if (fleet->options.is_hash_only)
			return route_by_hash(fleet, flow, node);
		placement = flow_director_place_packet(
			fleet->nodes[node].director, &event, fleet->now_ms);
		if (placement.kind != PLACE_TO_NODE)
			return placement;
		fleet->counts.forwarded_count++;
		event.hop_count++;
		event.from_node_id = node + 1;
		if (!flow_fleet_can_reach(
			    fleet, flow_fleet_zone(fleet, node),
			    flow_fleet_zone(fleet,
					    node_index_of(placement.node_id))))
			return (struct placement){.kind = PLACE_DROP};
		node = node_index_of(placement.node_id);
	}
	/* More forwards would mean a routing loop. */
	g_assert(placement.kind != PLACE_TO_NODE);
	return placement;
}

static uint16_t target_number_of(const struct endpoint *endpoint)
{
	return (uint16_t)(endpoint->addr.bytes[2] << 8 |
			  endpoint->addr.bytes[3]);
}

static void record_placement(struct flow_fleet *fleet,
			     struct flow_fleet_flow *flow,
			     const struct placement *placement)
{
	flow->is_placed = true;
	flow->target_id = placement->target_id;
	flow->target_number = target_number_of(&placement->endpoint);
	fleet->flow_counts[flow->target_number]++;
	fleet->counts.opened_count++;
	if (fleet->leaving_since_ms[flow->target_number] > 0 &&
	    fleet->now_ms - fleet->leaving_since_ms[flow->target_number] >
		    LEAVING_NOTICE_MS)
		fleet->counts.placed_on_leaving_count++;
}

static void mark_broken(struct flow_fleet *fleet, struct flow_fleet_flow *flow)
{
	if (!flow->is_broken)
		fleet->counts.broken_count++;
	flow->is_broken = true;
}

static void mark_moved(struct flow_fleet *fleet, struct flow_fleet_flow *flow)
{
	fleet->counts.moved_count += !flow->is_broken;
	mark_broken(fleet, flow);
}

static void record_arrival(struct flow_fleet *fleet,
			   struct flow_fleet_flow *flow,
			   const struct placement *placement)
{
	uint16_t number = target_number_of(&placement->endpoint);

	flow->drop_count = 0;
	if (fleet->owner_services[number] > 0 &&
	    fleet->owner_services[number] != flow->service + 1)
		fleet->counts.wrong_service_count++;
	if (!flow->is_placed)
		record_placement(fleet, flow, placement);
	else if (flow->target_id != placement->target_id)
		mark_moved(fleet, flow);
}

static bool is_target_reachable(const struct flow_fleet *fleet, uint32_t node,
				const struct placement *placement)
{
	uint16_t number = target_number_of(&placement->endpoint);

	return flow_fleet_can_reach(fleet, flow_fleet_zone(fleet, node),
				    fleet->zone_of_target[number]);
}

static void record_drop(struct flow_fleet *fleet, struct flow_fleet_flow *flow)
{
	fleet->counts.drop_count++;
	if (!flow->is_placed)
		fleet->counts.refused_count++;
	else if (++flow->drop_count >= BROKEN_DROP_COUNT)
		mark_broken(fleet, flow);
}

/*
 * A duplicate packet may be dropped, but must not reach a target other than
 * that of the original.
 */
static void send_copy(struct flow_fleet *fleet,
		      const struct flow_fleet_flow *flow, bool is_first)
{
	uint32_t node;
	struct placement placement = route_packet(fleet, flow, is_first, &node);

	if (placement.kind == PLACE_TO_TARGET &&
	    placement.target_id != flow->target_id)
		fleet->counts.diverged_copy_count++;
}

static void send_packet(struct flow_fleet *fleet, uint32_t index)
{
	struct flow_fleet_flow *flow = flow_at(fleet, index);
	uint32_t node = 0;
	bool is_first = !flow->is_placed;
	struct placement placement = route_packet(fleet, flow, is_first, &node);

	fleet->counts.packet_count++;
	fleet->counts.reason_counts[placement.reason]++;
	if (placement.kind == PLACE_TO_TARGET &&
	    is_target_reachable(fleet, node, &placement)) {
		record_arrival(fleet, flow, &placement);
		if (fleet->options.is_duplicating)
			send_copy(fleet, flow, is_first);
		schedule_packet(fleet, index,
				is_first ? HANDSHAKE_DELAY_MS
					 : flow->interval_ms);
		return;
	}
	record_drop(fleet, flow);
	schedule_packet(fleet, index, RETRY_DELAY_MS);
}

static void close_flow(struct flow_fleet *fleet, uint32_t index)
{
	struct flow_fleet_flow *flow = flow_at(fleet, index);

	if (flow->is_placed)
		fleet->flow_counts[flow->target_number]--;
	flow->is_open = false;
	g_array_append_val(fleet->free_flows, index);
}

static void open_flows(struct flow_fleet *fleet)
{
	uint32_t long_count = fleet->options.long_flow_count / RAMP_STEPS;
	uint32_t new_count =
		fleet->options.new_flows_per_s * STEP_MS / MS_PER_S;

	for (uint32_t i = 0; i < new_count; i++)
		open_flow(fleet, false);
	if (fleet->open_long_count >= fleet->options.long_flow_count)
		return;
	for (uint32_t i = 0; i < long_count; i++)
		open_flow(fleet, true);
	fleet->open_long_count += long_count;
}

/* Opens the new flows of this step and sends the packets that are due. */
void flow_fleet_traffic_step(struct flow_fleet *fleet)
{
	uint32_t slot = (uint32_t)(fleet->now_ms / STEP_MS % WHEEL_SLOT_COUNT);
	GArray *due = fleet->wheel[slot];

	open_flows(fleet);
	for (guint i = 0; i < due->len; i++) {
		uint32_t index = g_array_index(due, uint32_t, i);

		if (flow_at(fleet, index)->end_ms <= fleet->now_ms)
			close_flow(fleet, index);
		else
			send_packet(fleet, index);
	}
	g_array_set_size(due, 0);
}
