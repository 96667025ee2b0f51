/*
 * Nodes that start together hand over each other's slots in an order that
 * depends on when each of them learns of the others. Whatever that order is,
 * all of them serve within a few seconds.
 */
#include <core/flow_director.h>
#include <core/flow_message.h>
#include <fakes/test_main.h>
#include <glib.h>

#define NODE_COUNT_MAX 4
#define STEP_MS 20
#define JOINING_MS 2000
#define MESSAGE_DELAY_MAX_MS 60

/* A node is joining for 2 s; the news of that takes up to 2 s. */
#define SERVING_DEADLINE_MS 12000

/* How late the nodes start and learn of each other's changes of state. */
static const struct {
	const char *name;
	uint32_t node_count;
	uint32_t start_spread_ms;
	uint32_t news_delay_max_ms;
	uint32_t seed_count;
} rows[] = {
	{"three-nodes-at-once", 3, 50, 300, 60},
	{"three-nodes-with-slow-news", 3, 300, 2000, 60},
	{"four-nodes-in-turn", 4, 3000, 1000, 40},
};

struct flight {
	int64_t due_ms;
	uint32_t from;
	uint32_t to;
	struct flow_message message;
};

struct start_fleet;

struct start_node {
	struct start_fleet *fleet;
	struct flow_director *director;
	uint32_t index;
	int64_t start_ms;
	int64_t serving_ms;
	/* When this node learns that another one exists, and that it serves. */
	int64_t knows_ms[NODE_COUNT_MAX];
	int64_t knows_serving_ms[NODE_COUNT_MAX];
	uint32_t view_key;
};

struct start_fleet {
	struct start_node nodes[NODE_COUNT_MAX];
	uint32_t node_count;
	uint32_t news_delay_max_ms;
	int64_t now_ms;
	GRand *random;
	GArray *flights;
};

static int64_t random_ms(struct start_fleet *fleet, uint32_t max_ms)
{
	return g_rand_int_range(fleet->random, 0, (gint32)max_ms + 1);
}

static void send(void *context, uint64_t to_node_id,
		 const struct flow_message *message)
{
	struct start_node *node = context;
	struct start_fleet *fleet = node->fleet;
	struct flight flight = {
		.due_ms = fleet->now_ms + 1 +
			  random_ms(fleet, MESSAGE_DELAY_MAX_MS),
		.from = node->index,
		.to = (uint32_t)to_node_id - 1,
		.message = *message,
	};

	g_array_append_val(fleet->flights, flight);
}

static void deliver(struct start_fleet *fleet)
{
	for (guint i = 0; i < fleet->flights->len;) {
		struct flight flight =
			g_array_index(fleet->flights, struct flight, i);

		if (flight.due_ms > fleet->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(fleet->flights, i);
		if (fleet->nodes[flight.to].director)
			flow_director_handle_message(
				fleet->nodes[flight.to].director,
				flight.from + 1, &flight.message,
				fleet->now_ms);
	}
}

static void start_node(struct start_fleet *fleet, struct start_node *node)
{
	struct flow_director_options options = {
		.flow_capacity = 64,
		.control_bytes_per_s = 100000,
		.callbacks = {.context = node, .send = send},
	};
	struct rule_set *rules = rule_set_new(1);

	node->director = flow_director_new(&options);
	flow_director_set_rules(node->director, rules, fleet->now_ms);
	rule_set_free(rules);
	for (uint32_t i = 0; i < fleet->node_count; i++)
		fleet->nodes[i].knows_ms[node->index] =
			fleet->now_ms +
			random_ms(fleet, fleet->news_delay_max_ms);
	node->knows_ms[node->index] = fleet->now_ms;
}

/* Sets a view if the node has learnt something since its last one. */
static void update_view(struct start_fleet *fleet, struct start_node *node)
{
	struct node nodes[NODE_COUNT_MAX] = {{.node_id = 0}};
	struct node_view *view;
	uint32_t count = 0;
	uint32_t key = 1;

	for (uint32_t i = 0; i < fleet->node_count; i++) {
		bool is_known = fleet->now_ms >= MAX(node->knows_ms[i],
						     fleet->nodes[i].start_ms);
		bool is_serving = fleet->now_ms >= node->knows_serving_ms[i];

		key = 4 * key + is_known + is_serving;
		if (!is_known)
			continue;
		nodes[count].node_id = i + 1;
		nodes[count].zone_id = i;
		nodes[count++].state = is_serving ? NODE_SERVING : NODE_JOINING;
	}
	if (key == node->view_key)
		return;
	node->view_key = key;
	view = node_view_new(node->index + 1, (uint64_t)fleet->now_ms, nodes,
			     count);
	flow_director_set_view(node->director, view, fleet->now_ms);
	node_view_free(view);
}

static void serve_if_ready(struct start_fleet *fleet, struct start_node *node)
{
	if (node->serving_ms != 0 ||
	    fleet->now_ms - node->start_ms < JOINING_MS ||
	    !flow_director_is_ready(node->director))
		return;
	node->serving_ms = fleet->now_ms;
	for (uint32_t i = 0; i < fleet->node_count; i++)
		fleet->nodes[i].knows_serving_ms[node->index] =
			fleet->now_ms +
			random_ms(fleet, fleet->news_delay_max_ms);
	node->knows_serving_ms[node->index] = fleet->now_ms;
}

static void step(struct start_fleet *fleet)
{
	deliver(fleet);
	for (uint32_t i = 0; i < fleet->node_count; i++) {
		struct start_node *node = &fleet->nodes[i];

		if (fleet->now_ms < node->start_ms)
			continue;
		if (!node->director)
			start_node(fleet, node);
		update_view(fleet, node);
		flow_director_tick(node->director, fleet->now_ms);
		serve_if_ready(fleet, node);
	}
	fleet->now_ms += STEP_MS;
}

static void run_seed(uint32_t row, uint32_t seed)
{
	struct start_fleet fleet = {
		.node_count = rows[row].node_count,
		.news_delay_max_ms = rows[row].news_delay_max_ms,
		.now_ms = 1000,
		.random = g_rand_new_with_seed(seed),
		.flights = g_array_new(FALSE, FALSE, sizeof(struct flight)),
	};
	int64_t end_ms =
		fleet.now_ms + rows[row].start_spread_ms + SERVING_DEADLINE_MS;

	for (uint32_t i = 0; i < fleet.node_count; i++) {
		struct start_node *node = &fleet.nodes[i];

		node->fleet = &fleet;
		node->index = i;
		node->start_ms = fleet.now_ms +
				 random_ms(&fleet, rows[row].start_spread_ms);
		for (uint32_t k = 0; k < NODE_COUNT_MAX; k++) {
			node->knows_ms[k] = INT64_MAX;
			node->knows_serving_ms[k] = INT64_MAX;
		}
	}
	while (fleet.now_ms < end_ms)
		step(&fleet);
	for (uint32_t i = 0; i < fleet.node_count; i++) {
		ck_assert_msg(fleet.nodes[i].serving_ms != 0,
			      "%s, seed %u: node %u does not serve",
			      rows[row].name, seed, i + 1);
		flow_director_free(fleet.nodes[i].director);
	}
	g_array_free(fleet.flights, TRUE);
	g_rand_free(fleet.random);
}

START_TEST(test_start)
{
	test_row("flow_start", rows[_i].name);
	for (uint32_t seed = 1; seed <= rows[_i].seed_count; seed++)
		run_seed((uint32_t)_i, seed);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_start");
	TCase *tcase = tcase_create("start");

	tcase_set_timeout(tcase, 240);
	tcase_add_loop_test(tcase, test_start, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
