#include "flow_fleet_state.h"

#include <core/target_rank.h>
#include <netinet/in.h>

#define MS_PER_S 1000
#define RAMP_STEPS 50
#define SHORT_LIFE_MS 8000
#define SHORT_INTERVAL_MS 3000
#define LONG_INTERVAL_MS 5000
#define QUIET_INTERVAL_MS 30000
#define QUIET_EVERY 5
#define OTHER_SERVICE_EVERY 16
#define RETRY_MS 1000
#define HANDSHAKE_MS 200
#define DROPS_MAX 8
#define HOPS_MAX 2
#define ANNOUNCED_MS 4000
#define CALLER_FIRST 0x0b000000U

/* Makes the wheel that says which flows send a packet in which step. */
void fleet_traffic_init(struct flow_fleet *fleet)
{
	fleet->flows = g_array_new(FALSE, TRUE, sizeof(struct fleet_flow));
	fleet->free_flows = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < WHEEL_STEPS; i++)
		fleet->wheel[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

/* Frees what fleet_traffic_init made. */
void fleet_traffic_free(struct flow_fleet *fleet)
{
	g_array_free(fleet->flows, TRUE);
	g_array_free(fleet->free_flows, TRUE);
	for (uint32_t i = 0; i < WHEEL_STEPS; i++)
		g_array_free(fleet->wheel[i], TRUE);
}

static struct fleet_flow *flow_at(struct flow_fleet *fleet, uint32_t index)
{
	return &g_array_index(fleet->flows, struct fleet_flow, index);
}

static void schedule(struct flow_fleet *fleet, uint32_t index,
		     uint32_t delay_ms)
{
	int64_t due_step = (fleet->step_ms + MAX(delay_ms, STEP_MS)) / STEP_MS;

	g_array_append_val(fleet->wheel[due_step % WHEEL_STEPS], index);
}

static uint32_t new_index(struct flow_fleet *fleet)
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
	uint32_t index = new_index(fleet);
	struct fleet_flow *flow = flow_at(fleet, index);
	bool is_quiet = fleet->next_number % QUIET_EVERY == 0;

	*flow = (struct fleet_flow){
		.number = fleet->next_number++,
		.is_open = true,
		.end_ms = is_long ? INT64_MAX : fleet->step_ms + SHORT_LIFE_MS,
		.interval_ms = SHORT_INTERVAL_MS,
	};
	flow->service = flow->number % OTHER_SERVICE_EVERY == 0;
	if (is_long)
		flow->interval_ms =
			is_quiet ? QUIET_INTERVAL_MS : LONG_INTERVAL_MS;
	g_array_append_val(fleet->wheel[fleet->step_ms / STEP_MS % WHEEL_STEPS],
			   index);
}

static uint32_t random_node(struct flow_fleet *fleet)
{
	GRand *rand = driver_rand(fleet->driver);
	uint32_t node;

	do {
		node = (uint32_t)g_rand_int_range(rand, 0,
						  (gint32)fleet->node_count);
	} while (!fleet->nodes[node].is_sprayed);
	return node;
}

static struct packet_event make_event(const struct fleet_flow *flow,
				      bool is_first)
{
	struct packet_event event = {.kind = PACKET_MIDDLE};

	event.key.protocol = IPPROTO_TCP;
	event.key.caller.addr = ip_addr_from_v4(CALLER_FIRST + flow->number);
	event.key.caller.port = 1000;
	event.key.service = fleet_service_address(flow->service);
	if (is_first)
		event.kind = PACKET_FIRST;
	return event;
}

static uint32_t node_of_id(uint64_t node_id)
{
	return (uint32_t)(node_id - 1);
}

/* The baseline keeps nothing, so every packet is placed afresh. */
static struct placement route_by_hash(struct flow_fleet *fleet,
				      const struct fleet_flow *flow,
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

/* Follows a packet from node to node until one places or drops it. */
static struct placement route(struct flow_fleet *fleet,
			      const struct fleet_flow *flow, bool is_first,
			      uint32_t *at_node)
{
	struct packet_event event = make_event(flow, is_first);
	struct placement placement = {.kind = PLACE_DROP};
	uint32_t node = random_node(fleet);

	for (uint32_t hop = 0; hop <= HOPS_MAX; hop++) {
		if (!fleet->nodes[node].is_running ||
		    fleet->nodes[node].is_paused)
			return (struct placement){.kind = PLACE_DROP};
		*at_node = node;
		if (fleet->options.is_hash_only)
			return route_by_hash(fleet, flow, node);
		placement = flow_director_place_packet(
			fleet->nodes[node].director, &event, fleet->step_ms);
		if (placement.kind != PLACE_TO_NODE)
			return placement;
		fleet->counts.forward_count++;
		event.hop_count++;
		event.from_node_id = node + 1;
		if (!fleet_reaches(
			    fleet, fleet_zone(fleet, node),
			    fleet_zone(fleet, node_of_id(placement.node_id))))
			return (struct placement){.kind = PLACE_DROP};
		node = node_of_id(placement.node_id);
	}
	/* A third forward would be a loop. */
	g_assert(placement.kind != PLACE_TO_NODE);
	return placement;
}

static uint16_t number_of(const struct endpoint *endpoint)
{
	return (uint16_t)(endpoint->addr.bytes[2] << 8 |
			  endpoint->addr.bytes[3]);
}

static void place_flow(struct flow_fleet *fleet, struct fleet_flow *flow,
		       const struct placement *placement)
{
	flow->is_placed = true;
	flow->target_id = placement->target_id;
	flow->target_number = number_of(&placement->endpoint);
	fleet->flow_counts[flow->target_number]++;
	fleet->counts.opened_count++;
	if (fleet->leaving_since_ms[flow->target_number] > 0 &&
	    fleet->step_ms - fleet->leaving_since_ms[flow->target_number] >
		    ANNOUNCED_MS)
		fleet->counts.leaving_count++;
}

static void break_flow(struct flow_fleet *fleet, struct fleet_flow *flow)
{
	if (!flow->is_broken)
		fleet->counts.broken_count++;
	flow->is_broken = true;
}

static void move_flow(struct flow_fleet *fleet, struct fleet_flow *flow)
{
	fleet->counts.moved_count += !flow->is_broken;
	break_flow(fleet, flow);
}

static void arrive(struct flow_fleet *fleet, struct fleet_flow *flow,
		   const struct placement *placement)
{
	uint16_t number = number_of(&placement->endpoint);

	flow->drop_count = 0;
	if (fleet->owners[number] > 0 &&
	    fleet->owners[number] != flow->service + 1)
		fleet->counts.wrong_service_count++;
	if (!flow->is_placed)
		place_flow(fleet, flow, placement);
	else if (flow->target_id != placement->target_id)
		move_flow(fleet, flow);
}

static bool reaches_target(const struct flow_fleet *fleet, uint32_t node,
			   const struct placement *placement)
{
	uint16_t number = number_of(&placement->endpoint);

	return fleet_reaches(fleet, fleet_zone(fleet, node),
			     fleet->zone_of_target[number]);
}

static void drop_packet(struct flow_fleet *fleet, struct fleet_flow *flow)
{
	fleet->counts.drop_count++;
	if (!flow->is_placed)
		fleet->counts.refused_count++;
	else if (++flow->drop_count >= DROPS_MAX)
		break_flow(fleet, flow);
}

/* A copy may be dropped, but must not reach another target. */
static void send_copy(struct flow_fleet *fleet, const struct fleet_flow *flow,
		      bool is_first)
{
	uint32_t node;
	struct placement placement = route(fleet, flow, is_first, &node);

	if (placement.kind == PLACE_TO_TARGET &&
	    placement.target_id != flow->target_id)
		fleet->counts.split_count++;
}

static void send_packet(struct flow_fleet *fleet, uint32_t index)
{
	struct fleet_flow *flow = flow_at(fleet, index);
	uint32_t node = 0;
	bool is_first = !flow->is_placed;
	struct placement placement = route(fleet, flow, is_first, &node);

	fleet->counts.packet_count++;
	fleet->counts.reasons[placement.reason]++;
	if (placement.kind == PLACE_TO_TARGET &&
	    reaches_target(fleet, node, &placement)) {
		arrive(fleet, flow, &placement);
		if (fleet->options.is_doubling)
			send_copy(fleet, flow, is_first);
		schedule(fleet, index,
			 is_first ? HANDSHAKE_MS : flow->interval_ms);
		return;
	}
	drop_packet(fleet, flow);
	schedule(fleet, index, RETRY_MS);
}

static void close_flow(struct flow_fleet *fleet, uint32_t index)
{
	struct fleet_flow *flow = flow_at(fleet, index);

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

/* Opens this step's flows and sends this step's packets. */
void fleet_traffic_step(struct flow_fleet *fleet)
{
	uint32_t slot = (uint32_t)(fleet->step_ms / STEP_MS % WHEEL_STEPS);
	GArray *due = fleet->wheel[slot];

	open_flows(fleet);
	for (guint i = 0; i < due->len; i++) {
		uint32_t index = g_array_index(due, uint32_t, i);

		if (flow_at(fleet, index)->end_ms <= fleet->step_ms)
			close_flow(fleet, index);
		else
			send_packet(fleet, index);
	}
	g_array_set_size(due, 0);
}
