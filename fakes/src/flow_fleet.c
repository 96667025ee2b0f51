#include "flow_fleet_state.h"

#include <core/flow_message.h>

#define MS_PER_S 1000
#define FLOW_CAPACITY 120000
#define FLOW_SEED 17
#define DRAIN_MS (3600 * MS_PER_S)

/* An update for one node, applied after a delay; unset members are ignored. */
struct update {
	struct flow_fleet_node *node;
	uint64_t version;
	struct node_view *view;
	struct rule_set *rules;
	uint64_t target_id;
	enum target_state target_state;
};

/* Returns whether messages pass between two zones. */
bool flow_fleet_can_reach(const struct flow_fleet *fleet, uint32_t zone_a,
			  uint32_t zone_b)
{
	return zone_a == zone_b ||
	       (!fleet->is_zone_cut[zone_a] && !fleet->is_zone_cut[zone_b]);
}

/* Returns the zone of a node. */
uint32_t flow_fleet_zone(const struct flow_fleet *fleet, uint32_t node)
{
	return node % fleet->options.zone_count;
}

static void deliver(void *context, uint32_t from, uint32_t to, void *message)
{
	struct flow_fleet *fleet = context;
	struct flow_fleet_node *node = &fleet->nodes[to];

	if (node->is_running)
		flow_director_handle_message(node->director, from + 1, message,
					     driver_now_ms(fleet->driver));
	g_free(message);
}

/* Copies a message; the driver takes ownership of the copy. */
void *flow_fleet_copy_message(const void *message)
{
	return g_memdup2(message, sizeof(struct flow_message));
}

static void send_message(void *context, uint64_t to_node_id,
			 const struct flow_message *message)
{
	struct flow_fleet_node *node = context;
	struct flow_fleet *fleet = node->fleet;
	uint32_t to = (uint32_t)(to_node_id - 1);

	if (!flow_fleet_can_reach(fleet, flow_fleet_zone(fleet, node->index),
				  flow_fleet_zone(fleet, to)))
		return;
	driver_send(fleet->driver, node->index, to,
		    flow_fleet_copy_message(message));
}

static void start_node(struct flow_fleet *fleet, uint32_t index)
{
	struct flow_fleet_node *node = &fleet->nodes[index];
	struct flow_director_options options = {
		.flow_seed = FLOW_SEED,
		.flow_capacity = FLOW_CAPACITY,
		.control_bytes_per_s = fleet->options.control_bytes_per_s,
		.callbacks = {.context = node, .send = send_message},
	};

	node->director = flow_director_new(&options);
	node->is_running = true;
	node->is_receiving = true;
}

static void apply_update(void *context)
{
	struct update *update = context;
	struct flow_fleet_node *node = update->node;
	int64_t now_ms = driver_now_ms(node->fleet->driver);
	bool is_live = node->is_running && !node->is_paused;

	if (is_live && update->view && update->version > node->view_version) {
		node->view_version = update->version;
		flow_director_set_view(node->director, update->view, now_ms);
	}
	if (is_live && update->rules) {
		flow_director_set_rules(node->director, update->rules, now_ms);
		rule_set_free(node->rules);
		node->rules = g_steal_pointer(&update->rules);
	}
	if (is_live && update->target_id != TARGET_NONE)
		flow_director_set_target_state(node->director,
					       update->target_id,
					       update->target_state, now_ms);
	node_view_free(update->view);
	rule_set_free(update->rules);
	g_free(update);
}

/* Nodes apply it after random delays, so their views and rules may differ. */
static void send_update(struct flow_fleet_node *node, struct update update,
			bool is_immediate)
{
	struct flow_fleet *fleet = node->fleet;
	uint32_t delay_ms = 0;

	update.node = node;
	if (!is_immediate && fleet->options.update_delay_max_ms > 0)
		delay_ms = (uint32_t)g_rand_int_range(
			driver_rand(fleet->driver), 0,
			(gint32)fleet->options.update_delay_max_ms);
	driver_schedule(fleet->driver, delay_ms,
			g_memdup2(&update, sizeof(update)), apply_update);
}

static struct node_view *view_of(const struct flow_fleet *fleet, uint32_t node)
{
	struct node *nodes = g_memdup2(
		fleet->members, fleet->node_count * sizeof(*fleet->members));
	struct node_view *view;
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++) {
		if (nodes[i].node_id == NODE_NONE)
			continue;
		if (!flow_fleet_can_reach(fleet, nodes[i].zone_id,
					  flow_fleet_zone(fleet, node)))
			nodes[i].state = NODE_CUT_OFF;
		nodes[count++] = nodes[i];
	}
	view = node_view_new(node + 1, fleet->view_version, nodes, count);
	g_free(nodes);
	return view;
}

static void send_view(struct flow_fleet *fleet, uint32_t node,
		      bool is_immediate)
{
	struct update update = {.version = fleet->view_version};

	if (!fleet->nodes[node].is_running)
		return;
	update.view = view_of(fleet, node);
	send_update(&fleet->nodes[node], update, is_immediate);
}

/* Sends the current view to every running node. */
void flow_fleet_publish_views(struct flow_fleet *fleet)
{
	fleet->view_version++;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		send_view(fleet, i, false);
}

static void set_state(struct flow_fleet *fleet, uint32_t node,
		      enum node_state state)
{
	fleet->members[node] = (struct node){
		.node_id = node + 1,
		.zone_id = flow_fleet_zone(fleet, node),
		.state = state,
	};
}

/* Publishes the current rules; each node gets them after its own delay. */
void flow_fleet_publish_rules(struct flow_fleet *fleet)
{
	fleet->revision++;
	fleet->generations[0] = fleet->revision;
	if (fleet->moved_target < TARGET_NUMBER_COUNT)
		fleet->generations[1] = fleet->revision;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		send_update(&fleet->nodes[i],
			    (struct update){.rules = flow_fleet_rules(fleet)},
			    false);
}

/* Publishes the state of a target of the first service to every node. */
void flow_fleet_set_target_state(struct flow_fleet *fleet, uint32_t number,
				 enum target_state state)
{
	uint64_t target_id = flow_fleet_target_of(fleet, 0, number).target_id;

	fleet->leaving_since_ms[number] =
		state == TARGET_LEAVING ? driver_now_ms(fleet->driver) : 0;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		send_update(&fleet->nodes[i],
			    (struct update){.target_id = target_id,
					    .target_state = state},
			    false);
}

/* Starts a spare node, which joins and serves once it is ready. */
void flow_fleet_join(struct flow_fleet *fleet, uint32_t node)
{
	start_node(fleet, node);
	fleet->nodes[node].is_joining = true;
	set_state(fleet, node, NODE_JOINING);
	send_update(&fleet->nodes[node],
		    (struct update){.rules = flow_fleet_rules(fleet)}, true);
	flow_fleet_publish_views(fleet);
	send_view(fleet, node, true);
}

/* Makes a node leave; it stops once it has handed over its flows. */
void flow_fleet_leave(struct flow_fleet *fleet, uint32_t node)
{
	fleet->nodes[node].is_leaving = true;
	set_state(fleet, node, NODE_LEAVING);
	flow_director_leave(fleet->nodes[node].director,
			    driver_now_ms(fleet->driver));
	flow_fleet_publish_views(fleet);
}

/* Returns whether a node runs and has joined. */
bool flow_fleet_is_serving(const struct flow_fleet *fleet, uint32_t node)
{
	return fleet->members[node].state == NODE_SERVING &&
	       fleet->nodes[node].is_running;
}

/* Returns whether a node has stopped. */
bool flow_fleet_is_stopped(const struct flow_fleet *fleet, uint32_t node)
{
	return !fleet->nodes[node].is_running;
}

static void stop_node(struct flow_fleet *fleet, uint32_t node)
{
	fleet->nodes[node].is_running = false;
	fleet->nodes[node].is_receiving = false;
	set_state(fleet, node, NODE_DEAD);
	flow_fleet_publish_views(fleet);
}

/* Kills a node without notice; the next views of the others show it as dead. */
void flow_fleet_kill(struct flow_fleet *fleet, uint32_t node)
{
	stop_node(fleet, node);
}

/*
 * Pauses or resumes a node. While it is paused the others see it as dead, but
 * the fabric still sends packets to it.
 */
void flow_fleet_pause(struct flow_fleet *fleet, uint32_t node, bool is_paused)
{
	fleet->nodes[node].is_paused = is_paused;
	set_state(fleet, node, NODE_DEAD);
	driver_pause(fleet->driver, node, is_paused);
	flow_fleet_publish_views(fleet);
	if (is_paused)
		return;
	/* The node receives the view in which it is dead, and joins again. */
	send_view(fleet, node, true);
	set_state(fleet, node, NODE_JOINING);
	fleet->nodes[node].is_joining = true;
	send_update(&fleet->nodes[node],
		    (struct update){.rules = flow_fleet_rules(fleet)}, false);
	flow_fleet_publish_views(fleet);
}

/* Cuts or restores the links between a zone and all other zones. */
void flow_fleet_cut_zone(struct flow_fleet *fleet, uint32_t zone, bool is_cut)
{
	fleet->is_zone_cut[zone] = is_cut;
	flow_fleet_publish_views(fleet);
}

static void step_node(struct flow_fleet *fleet, struct flow_fleet_node *node)
{
	flow_director_tick(node->director, fleet->now_ms);
	if (node->is_leaving && flow_director_may_stop(node->director))
		stop_node(fleet, node->index);
	if (!node->is_joining || !flow_director_is_ready(node->director))
		return;
	node->is_joining = false;
	set_state(fleet, node->index, NODE_SERVING);
	flow_fleet_publish_views(fleet);
}

static void measure_rate(struct flow_fleet *fleet, struct flow_fleet_node *node)
{
	uint32_t slot = (uint32_t)(fleet->now_ms / MS_PER_S) % RATE_WINDOW_S;
	uint64_t sent_bytes = flow_director_sent_bytes(node->director);
	double bytes_per_s =
		(double)(sent_bytes - node->window_bytes[slot]) / RATE_WINDOW_S;

	node->window_bytes[slot] = sent_bytes;
	node->peak_bytes_per_s = MAX(node->peak_bytes_per_s, bytes_per_s);
}

/* Advances virtual time by duration_ms, in steps. */
void flow_fleet_run(struct flow_fleet *fleet, uint32_t duration_ms)
{
	int64_t end_ms = fleet->now_ms + duration_ms;

	while (fleet->now_ms < end_ms) {
		fleet->now_ms += STEP_MS;
		driver_run_until(fleet->driver, fleet->now_ms);
		for (uint32_t i = 0; i < fleet->node_count; i++) {
			struct flow_fleet_node *node = &fleet->nodes[i];

			if (!node->is_running || node->is_paused)
				continue;
			step_node(fleet, node);
			if (fleet->now_ms % MS_PER_S == 0)
				measure_rate(fleet, node);
		}
		flow_fleet_replace_step(fleet);
		flow_fleet_traffic_step(fleet);
	}
}

static struct driver *make_driver(struct flow_fleet *fleet)
{
	struct driver_options options = {
		.instance_count = fleet->node_count,
		.seed = fleet->options.seed,
		.link = fleet->options.link,
		.context = fleet,
		.deliver = deliver,
		.discard = g_free,
		.duplicate = flow_fleet_copy_message,
	};

	return driver_new(&options);
}

static void init_indexes(struct flow_fleet *fleet)
{
	for (uint32_t i = 0; i < TARGET_NUMBER_COUNT; i++)
		fleet->zone_of_target[i] = i % fleet->options.zone_count;
	for (uint32_t i = 0; i < fleet->node_count; i++) {
		fleet->nodes[i].fleet = fleet;
		fleet->nodes[i].index = i;
	}
}

/* The initial updates reach all nodes without delay. */
static void start_nodes(struct flow_fleet *fleet)
{
	uint32_t update_delay_max_ms = fleet->options.update_delay_max_ms;

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		start_node(fleet, i);
		set_state(fleet, i, NODE_SERVING);
	}
	fleet->generations[1] = 1;
	fleet->options.update_delay_max_ms = 0;
	flow_fleet_publish_rules(fleet);
	flow_fleet_publish_views(fleet);
	fleet->options.update_delay_max_ms = update_delay_max_ms;
}

/* Starts a fleet whose nodes have all updates; free with flow_fleet_free. */
struct flow_fleet *flow_fleet_new(const struct flow_fleet_options *options)
{
	struct flow_fleet *fleet = g_new0(struct flow_fleet, 1);

	fleet->options = *options;
	fleet->node_count = options->node_count + options->spare_count;
	fleet->nodes = g_new0(struct flow_fleet_node, fleet->node_count);
	fleet->members = g_new0(struct node, fleet->node_count);
	fleet->moved_target = TARGET_NUMBER_COUNT;
	fleet->removed_target = TARGET_NUMBER_COUNT;
	fleet->form = RULE_FORM_FIRST;
	fleet->next_spare = options->node_count;
	fleet->driver = make_driver(fleet);
	init_indexes(fleet);
	flow_fleet_traffic_init(fleet);
	flow_fleet_set_pool(fleet, 0, options->target_count, TARGET_SLOT_COUNT);
	start_nodes(fleet);
	return fleet;
}

/* Frees the fleet; NULL is allowed. Runs pending updates to free them. */
void flow_fleet_free(struct flow_fleet *fleet)
{
	if (!fleet)
		return;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		fleet->nodes[i].is_running = false;
	driver_run_until(fleet->driver, fleet->now_ms + DRAIN_MS);
	driver_free(fleet->driver);
	for (uint32_t i = 0; i < fleet->node_count; i++) {
		flow_director_free(fleet->nodes[i].director);
		rule_set_free(fleet->nodes[i].rules);
	}
	flow_fleet_traffic_free(fleet);
	g_free(fleet->nodes);
	g_free(fleet->members);
	g_free(fleet);
}
