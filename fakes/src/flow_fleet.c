#include "flow_fleet_state.h"

#include <core/flow_message.h>

#define MS_PER_S 1000
#define FLOW_CAPACITY 120000
#define FLOW_SEED 17

/* News that reaches one node after a delay. */
struct news {
	struct fleet_node *node;
	uint64_t version;
	struct node_view *view;
	struct rule_set *rules;
	uint64_t target_id;
	enum target_state target_state;
};

/* Tells whether messages pass between two zones. */
bool fleet_reaches(const struct flow_fleet *fleet, uint32_t zone_a,
		   uint32_t zone_b)
{
	return zone_a == zone_b ||
	       (!fleet->is_zone_cut[zone_a] && !fleet->is_zone_cut[zone_b]);
}

/* Returns the zone of a node. */
uint32_t fleet_zone(const struct flow_fleet *fleet, uint32_t node)
{
	return node % fleet->options.zone_count;
}

static void deliver(void *context, uint32_t from, uint32_t to, void *message)
{
	struct flow_fleet *fleet = context;
	struct fleet_node *node = &fleet->nodes[to];

	if (node->is_running)
		flow_director_handle_message(node->director, from + 1, message,
					     driver_now_ms(fleet->driver));
	g_free(message);
}

/* Copies a message for the driver, which owns the copy. */
void *fleet_copy_message(const void *message)
{
	return g_memdup2(message, sizeof(struct flow_message));
}

static void send_message(void *context, uint64_t to_node_id,
			 const struct flow_message *message)
{
	struct fleet_node *node = context;
	struct flow_fleet *fleet = node->fleet;
	uint32_t to = (uint32_t)(to_node_id - 1);

	if (!fleet_reaches(fleet, fleet_zone(fleet, node->index),
			   fleet_zone(fleet, to)))
		return;
	driver_send(fleet->driver, node->index, to,
		    fleet_copy_message(message));
}

static void start_node(struct flow_fleet *fleet, uint32_t index)
{
	struct fleet_node *node = &fleet->nodes[index];
	struct flow_director_options options = {
		.flow_seed = FLOW_SEED,
		.flow_capacity = FLOW_CAPACITY,
		.control_bytes_per_s = fleet->options.control_bytes_per_s,
		.effects = {.context = node, .send = send_message},
	};

	node->director = flow_director_new(&options);
	node->is_running = true;
	node->is_sprayed = true;
}

static void read_news(void *context)
{
	struct news *news = context;
	struct fleet_node *node = news->node;
	int64_t now_ms = driver_now_ms(node->fleet->driver);
	bool is_live = node->is_running && !node->is_paused;

	if (is_live && news->view && news->version > node->view_version) {
		node->view_version = news->version;
		flow_director_set_nodes(node->director, news->view, now_ms);
	}
	if (is_live && news->rules) {
		flow_director_set_rules(node->director, news->rules, now_ms);
		rule_set_free(node->rules);
		node->rules = g_steal_pointer(&news->rules);
	}
	if (is_live && news->target_id != TARGET_NONE)
		flow_director_set_target_state(node->director, news->target_id,
					       news->target_state, now_ms);
	node_view_free(news->view);
	rule_set_free(news->rules);
	g_free(news);
}

/* News spreads unevenly: each node hears of it at a moment of its own. */
static void post_news(struct fleet_node *node, struct news news, bool is_now)
{
	struct flow_fleet *fleet = node->fleet;
	uint32_t delay_ms = 0;

	news.node = node;
	if (!is_now && fleet->options.spread_ms > 0)
		delay_ms = (uint32_t)g_rand_int_range(
			driver_rand(fleet->driver), 0,
			(gint32)fleet->options.spread_ms);
	driver_schedule(fleet->driver, delay_ms, g_memdup2(&news, sizeof(news)),
			read_news);
}

static struct node_view *view_of(const struct flow_fleet *fleet, uint32_t node)
{
	struct node *nodes = g_memdup2(
		fleet->truth, fleet->node_count * sizeof(*fleet->truth));
	struct node_view *view;
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++) {
		if (nodes[i].node_id == NODE_NONE)
			continue;
		if (!fleet_reaches(fleet, nodes[i].zone_id,
				   fleet_zone(fleet, node)))
			nodes[i].state = NODE_CUT_OFF;
		nodes[count++] = nodes[i];
	}
	view = node_view_new(node + 1, fleet->view_version, nodes, count);
	g_free(nodes);
	return view;
}

static void post_view(struct flow_fleet *fleet, uint32_t node, bool is_now)
{
	struct news news = {.version = fleet->view_version};

	if (!fleet->nodes[node].is_running)
		return;
	news.view = view_of(fleet, node);
	post_news(&fleet->nodes[node], news, is_now);
}

/* Tells every node of the nodes as they are now. */
void fleet_spread_views(struct flow_fleet *fleet)
{
	fleet->view_version++;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		post_view(fleet, i, false);
}

static void set_truth(struct flow_fleet *fleet, uint32_t node,
		      enum node_state state)
{
	fleet->truth[node] = (struct node){
		.node_id = node + 1,
		.zone_id = fleet_zone(fleet, node),
		.state = state,
	};
}

/* Publishes the rules as they are now; each node learns them in its time. */
void flow_fleet_publish(struct flow_fleet *fleet)
{
	fleet->revision++;
	fleet->generations[0] = fleet->revision;
	if (fleet->moved_number < TARGET_NUMBERS)
		fleet->generations[1] = fleet->revision;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		post_news(&fleet->nodes[i],
			  (struct news){.rules = fleet_make_rules(fleet)},
			  false);
}

/* Tells every node the state of a target of the first service. */
void flow_fleet_target(struct flow_fleet *fleet, uint32_t number,
		       enum target_state state)
{
	uint64_t target_id = fleet_make_target(fleet, 0, number).target_id;

	fleet->leaving_since_ms[number] =
		state == TARGET_LEAVING ? driver_now_ms(fleet->driver) : 0;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		post_news(&fleet->nodes[i],
			  (struct news){.target_id = target_id,
					.target_state = state},
			  false);
}

/* Starts a spare node; it serves once it has learned what it must know. */
void flow_fleet_join(struct flow_fleet *fleet, uint32_t node)
{
	start_node(fleet, node);
	fleet->nodes[node].is_joining = true;
	set_truth(fleet, node, NODE_JOINING);
	post_news(&fleet->nodes[node],
		  (struct news){.rules = fleet_make_rules(fleet)}, true);
	fleet_spread_views(fleet);
	post_view(fleet, node, true);
}

/* Tells a node to leave; it stops once its flows are handed over. */
void flow_fleet_leave(struct flow_fleet *fleet, uint32_t node)
{
	fleet->nodes[node].is_leaving = true;
	set_truth(fleet, node, NODE_LEAVING);
	flow_director_leave(fleet->nodes[node].director,
			    driver_now_ms(fleet->driver));
	fleet_spread_views(fleet);
}

/* Tells whether a node has joined. */
bool flow_fleet_is_serving(const struct flow_fleet *fleet, uint32_t node)
{
	return fleet->truth[node].state == NODE_SERVING &&
	       fleet->nodes[node].is_running;
}

/* Tells whether a node has stopped. */
bool flow_fleet_is_stopped(const struct flow_fleet *fleet, uint32_t node)
{
	return !fleet->nodes[node].is_running;
}

static void stop_node(struct flow_fleet *fleet, uint32_t node)
{
	fleet->nodes[node].is_running = false;
	fleet->nodes[node].is_sprayed = false;
	set_truth(fleet, node, NODE_DEAD);
	fleet_spread_views(fleet);
}

/* Ends a node without a word; the others learn of it as of any news. */
void flow_fleet_kill(struct flow_fleet *fleet, uint32_t node)
{
	stop_node(fleet, node);
}

/*
 * Stops a node's clock or wakes it. The others hold it dead as long as that
 * lasts, and the fabric goes on sending to it.
 */
void flow_fleet_pause(struct flow_fleet *fleet, uint32_t node, bool is_paused)
{
	fleet->nodes[node].is_paused = is_paused;
	set_truth(fleet, node, NODE_DEAD);
	driver_pause(fleet->driver, node, is_paused);
	fleet_spread_views(fleet);
	if (is_paused)
		return;
	/* It learns that it was declared dead, and joins anew. */
	post_view(fleet, node, true);
	set_truth(fleet, node, NODE_JOINING);
	fleet->nodes[node].is_joining = true;
	post_news(&fleet->nodes[node],
		  (struct news){.rules = fleet_make_rules(fleet)}, false);
	fleet_spread_views(fleet);
}

/* Cuts a zone off from the other zones, or joins it again. */
void flow_fleet_cut_zone(struct flow_fleet *fleet, uint32_t zone, bool is_cut)
{
	fleet->is_zone_cut[zone] = is_cut;
	fleet_spread_views(fleet);
}

static void step_node(struct flow_fleet *fleet, struct fleet_node *node)
{
	flow_director_tick(node->director, fleet->step_ms);
	if (node->is_leaving && flow_director_may_stop(node->director))
		stop_node(fleet, node->index);
	if (!node->is_joining || !flow_director_is_ready(node->director))
		return;
	node->is_joining = false;
	set_truth(fleet, node->index, NODE_SERVING);
	fleet_spread_views(fleet);
}

static void measure_bytes(struct flow_fleet *fleet, struct fleet_node *node)
{
	uint32_t place = (uint32_t)(fleet->step_ms / MS_PER_S) % WINDOW_S;
	uint64_t sent_bytes = flow_director_sent_bytes(node->director);
	double bytes_per_s =
		(double)(sent_bytes - node->bytes_at[place]) / WINDOW_S;

	node->bytes_at[place] = sent_bytes;
	node->peak_bytes_per_s = MAX(node->peak_bytes_per_s, bytes_per_s);
}

/* Runs the fleet for a while of virtual time. */
void flow_fleet_run(struct flow_fleet *fleet, uint32_t duration_ms)
{
	int64_t end_ms = fleet->step_ms + duration_ms;

	while (fleet->step_ms < end_ms) {
		fleet->step_ms += STEP_MS;
		driver_run_until(fleet->driver, fleet->step_ms);
		for (uint32_t i = 0; i < fleet->node_count; i++) {
			struct fleet_node *node = &fleet->nodes[i];

			if (!node->is_running || node->is_paused)
				continue;
			step_node(fleet, node);
			if (fleet->step_ms % MS_PER_S == 0)
				measure_bytes(fleet, node);
		}
		fleet_replace_step(fleet);
		fleet_traffic_step(fleet);
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
		.duplicate = fleet_copy_message,
	};

	return driver_new(&options);
}

static void name_parts(struct flow_fleet *fleet)
{
	for (uint32_t i = 0; i < TARGET_NUMBERS; i++)
		fleet->zone_of_target[i] = i % fleet->options.zone_count;
	for (uint32_t i = 0; i < fleet->node_count; i++) {
		fleet->nodes[i].fleet = fleet;
		fleet->nodes[i].index = i;
	}
}

/* The first news reaches all nodes at the same time. */
static void start_nodes(struct flow_fleet *fleet)
{
	uint32_t spread_ms = fleet->options.spread_ms;

	for (uint32_t i = 0; i < fleet->options.node_count; i++) {
		start_node(fleet, i);
		set_truth(fleet, i, NODE_SERVING);
	}
	fleet->generations[1] = 1;
	fleet->options.spread_ms = 0;
	flow_fleet_publish(fleet);
	fleet_spread_views(fleet);
	fleet->options.spread_ms = spread_ms;
}

/*
 * Makes a fleet whose nodes all know each other and the rules. The caller
 * frees it with flow_fleet_free.
 */
struct flow_fleet *flow_fleet_new(const struct flow_fleet_options *options)
{
	struct flow_fleet *fleet = g_new0(struct flow_fleet, 1);

	fleet->options = *options;
	fleet->node_count = options->node_count + options->spare_count;
	fleet->nodes = g_new0(struct fleet_node, fleet->node_count);
	fleet->truth = g_new0(struct node, fleet->node_count);
	fleet->moved_number = TARGET_NUMBERS;
	fleet->removed_number = TARGET_NUMBERS;
	fleet->form = RULE_FORM_FIRST;
	fleet->next_spare = options->node_count;
	fleet->driver = make_driver(fleet);
	name_parts(fleet);
	fleet_traffic_init(fleet);
	flow_fleet_pool(fleet, 0, options->target_count, FLEET_SLOT_COUNT);
	start_nodes(fleet);
	return fleet;
}

/* Frees the fleet; NULL is allowed. News on its way is read first. */
void flow_fleet_free(struct flow_fleet *fleet)
{
	if (!fleet)
		return;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		fleet->nodes[i].is_running = false;
	driver_run_until(fleet->driver, fleet->step_ms + 3600 * MS_PER_S);
	driver_free(fleet->driver);
	for (uint32_t i = 0; i < fleet->node_count; i++) {
		flow_director_free(fleet->nodes[i].director);
		rule_set_free(fleet->nodes[i].rules);
	}
	fleet_traffic_free(fleet);
	g_free(fleet->nodes);
	g_free(fleet->truth);
	g_free(fleet);
}
