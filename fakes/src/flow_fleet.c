#include "flow_fleet_state.h"

#include <core/flow_message.h>

#define MS_PER_S 1000
#define SERVICE_PORT 80
#define TARGET_PORT 8080
#define TARGET_FIRST 0x0a010000U
#define SERVICE_FIRST 0x0a000001U
#define FLOW_CAPACITY 120000
#define SLOT_COUNT 3
#define FLOW_SEED 17

static const char *const service_names[FLEET_SERVICE_COUNT] = {
	"order-desk",
	"catalogue",
};

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

/* Returns the address that callers of a service send to. */
struct endpoint fleet_service_address(uint32_t service)
{
	return (struct endpoint){
		.addr = ip_addr_from_v4(SERVICE_FIRST + service),
		.port = SERVICE_PORT,
	};
}

static void deliver(void *context, uint32_t from, uint32_t to, void *message)
{
	struct flow_fleet *fleet = context;
	struct fleet_node *node = &fleet->nodes[to];

	if (node->is_running)
		flow_director_message(node->director, from + 1, message,
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
	driver_after(fleet->driver, delay_ms, g_memdup2(&news, sizeof(news)),
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

static struct target make_target(const struct flow_fleet *fleet,
				 uint32_t service, uint32_t number)
{
	struct target target = {
		.endpoint = {.addr = ip_addr_from_v4(TARGET_FIRST + number),
			     .port = TARGET_PORT},
		.service_id = service_id_from_name(service_names[service]),
		.zone_id = fleet->zone_of_target[number],
		.slot_count = SLOT_COUNT,
		.weight = SLOT_COUNT,
		.incarnation = number == fleet->moved_number && service == 1,
	};

	if (service == 0 && number == fleet->pool_first)
		target.weight = fleet->weight_of_first;
	target.target_id = target_id_of(&target);
	return target;
}

static void add_target(struct flow_fleet *fleet, struct rule *rule,
		       uint32_t service, uint32_t number)
{
	rule->targets[rule->target_count++] =
		make_target(fleet, service, number);
	fleet->owners[number] = (uint8_t)(service + 1);
}

/* The pool may have lost targets since the rules were made last. */
static void disown_targets(struct flow_fleet *fleet, uint32_t service)
{
	for (uint32_t i = 0; i < TARGET_NUMBERS; i++) {
		if (fleet->owners[i] == service + 1)
			fleet->owners[i] = 0;
	}
}

static struct rule *make_rule(struct flow_fleet *fleet, uint32_t service)
{
	struct rule *rule = g_new0(struct rule, 1);
	uint32_t first = service == 0 ? fleet->pool_first : SERVICE_1_FIRST;
	uint32_t count = service == 0 ? fleet->pool_count : SERVICE_1_COUNT;

	g_strlcpy(rule->service.name, service_names[service],
		  SERVICE_NAME_BYTES);
	rule->service.service_id = service_id_from_name(service_names[service]);
	rule->generation = fleet->generations[service];
	rule->form = fleet->form;
	rule->address_count = 1;
	rule->addresses = g_new0(struct endpoint, 1);
	rule->addresses[0] = fleet_service_address(service);
	rule->targets = g_new0(struct target, count + 1);
	disown_targets(fleet, service);
	for (uint32_t i = 0; i < count; i++) {
		if (service != 0 || first + i != fleet->removed_number)
			add_target(fleet, rule, service, first + i);
	}
	if (service == 1 && fleet->moved_number < TARGET_NUMBERS)
		add_target(fleet, rule, 1, fleet->moved_number);
	rule->comment = g_strdup("asked by the test");
	return rule;
}

static struct rule_set *make_rules(struct flow_fleet *fleet)
{
	struct rule_set *rules = rule_set_new(fleet->revision);

	for (uint32_t i = 0; i < FLEET_SERVICE_COUNT; i++)
		rule_set_add(rules, make_rule(fleet, i));
	return rules;
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
			  (struct news){.rules = make_rules(fleet)}, false);
}

/* Gives the first service the targets first to first + count - 1. */
void flow_fleet_pool(struct flow_fleet *fleet, uint32_t first, uint32_t count,
		     uint32_t weight_of_first)
{
	fleet->pool_first = first;
	fleet->pool_count = count;
	fleet->weight_of_first = weight_of_first;
}

/* Writes the rules in another form from the next publication on. */
void flow_fleet_set_form(struct flow_fleet *fleet, uint32_t form)
{
	fleet->form = form;
}

/* Returns the number of targets of the first service at the start. */
uint32_t flow_fleet_target_count(const struct flow_fleet *fleet)
{
	return fleet->options.target_count;
}

/* Takes a target out of the first service's pool. */
void flow_fleet_remove_target(struct flow_fleet *fleet, uint32_t number)
{
	fleet->removed_number = number;
}

/* Gives the address of a removed target to the second service. */
void flow_fleet_move_target(struct flow_fleet *fleet, uint32_t number)
{
	fleet->moved_number = number;
}

/* Changes how unevenly news spreads from now on. */
void flow_fleet_set_spread(struct flow_fleet *fleet, uint32_t spread_ms)
{
	fleet->options.spread_ms = spread_ms;
}

/* Tells every node the state of a target of the first service. */
void flow_fleet_target(struct flow_fleet *fleet, uint32_t number,
		       enum target_state state)
{
	uint64_t target_id = make_target(fleet, 0, number).target_id;

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
		  (struct news){.rules = make_rules(fleet)}, true);
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
		  (struct news){.rules = make_rules(fleet)}, false);
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

/* Returns the highest rate that a node sent at over ten seconds. */
double flow_fleet_control_bytes_per_s(const struct flow_fleet *fleet)
{
	double peak = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++)
		peak = MAX(peak, fleet->nodes[i].peak_bytes_per_s);
	return peak;
}

/* Returns the bytes that all nodes have sent. */
uint64_t flow_fleet_control_bytes(const struct flow_fleet *fleet)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < fleet->node_count; i++) {
		if (fleet->nodes[i].director)
			bytes += flow_director_sent_bytes(
				fleet->nodes[i].director);
	}
	return bytes;
}

/* Returns max/mean of the flows by weight over the first service's pool. */
double flow_fleet_imbalance(const struct flow_fleet *fleet)
{
	double most = 0;
	double sum = 0;
	double weight_sum = 0;

	for (uint32_t i = 0; i < fleet->pool_count; i++) {
		uint32_t number = fleet->pool_first + i;
		double weight = i == 0 ? fleet->weight_of_first : SLOT_COUNT;
		double flows = fleet->flow_counts[number];

		if (fleet->leaving_since_ms[number] > 0)
			continue;
		most = MAX(most, flows / weight);
		sum += flows;
		weight_sum += weight;
	}
	return sum > 0 ? most / (sum / weight_sum) : 0;
}

/* Returns the number of flows that are placed now. */
uint32_t flow_fleet_flow_count(const struct flow_fleet *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < TARGET_NUMBERS; i++)
		count += fleet->flow_counts[i];
	return count;
}

/* Returns what was counted since the start. */
struct flow_fleet_counts flow_fleet_counts(const struct flow_fleet *fleet)
{
	return fleet->counts;
}

/* Returns the driver, for a row to change links. */
struct driver *flow_fleet_driver(struct flow_fleet *fleet)
{
	return fleet->driver;
}

/* Returns virtual time. */
int64_t flow_fleet_now_ms(const struct flow_fleet *fleet)
{
	return fleet->step_ms;
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
	flow_fleet_pool(fleet, 0, options->target_count, SLOT_COUNT);
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
