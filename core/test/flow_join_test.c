/*
 * A joining node is ready only after the homes of its slots have handed them
 * over, also if the homes change or die before their handover is complete.
 */
#include <core/flow_director.h>
#include <core/flow_message.h>
#include <core/home_map.h>
#include <fakes/test_main.h>
#include <glib.h>

#define SELF_ID 1
#define NODE_COUNT 3
#define STEP_COUNT_MAX 8

/* The other nodes, and bit masks of those that serve. */
enum { NODE_A = 2, NODE_B = 3 };
enum { NONE_SERVES = 0, A_SERVES = 1, B_SERVES = 2, BOTH_SERVE = 3 };

enum action {
	END,
	/* Sets a new view; a is the mask of serving nodes, the rest join. */
	SET_VIEW,
	/*
	 * Node a hands over the slots whose home it is if the nodes in mask b
	 * serve.
	 */
	HAND_OVER,
	EXPECT_READY,
	EXPECT_NOT_READY,
};

struct step {
	enum action action;
	uint32_t a;
	uint32_t b;
};

static const struct {
	const char *name;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"one-teacher",
	 {{SET_VIEW, A_SERVES, 0},
	  {EXPECT_NOT_READY, 0, 0},
	  {HAND_OVER, NODE_A, A_SERVES},
	  {EXPECT_READY, 0, 0}}},
	{"two-teachers",
	 {{SET_VIEW, BOTH_SERVE, 0},
	  {HAND_OVER, NODE_A, BOTH_SERVE},
	  {EXPECT_NOT_READY, 0, 0},
	  {HAND_OVER, NODE_B, BOTH_SERVE},
	  {EXPECT_READY, 0, 0}}},
	{"taught-before-the-view-says-who-serves",
	 {{SET_VIEW, NONE_SERVES, 0},
	  {HAND_OVER, NODE_A, A_SERVES},
	  {SET_VIEW, A_SERVES, 0},
	  {EXPECT_READY, 0, 0}}},
	{"home-changes-before-it-taught",
	 {{SET_VIEW, A_SERVES, 0},
	  {SET_VIEW, BOTH_SERVE, 0},
	  {HAND_OVER, NODE_A, BOTH_SERVE},
	  {EXPECT_NOT_READY, 0, 0},
	  {HAND_OVER, NODE_B, BOTH_SERVE},
	  {EXPECT_READY, 0, 0}}},
	{"new-home-taught-before-the-view-names-it",
	 {{SET_VIEW, A_SERVES, 0},
	  {HAND_OVER, NODE_B, B_SERVES},
	  {EXPECT_NOT_READY, 0, 0},
	  {SET_VIEW, BOTH_SERVE, 0},
	  {EXPECT_NOT_READY, 0, 0},
	  {HAND_OVER, NODE_A, BOTH_SERVE},
	  {EXPECT_READY, 0, 0}}},
	{"home-that-has-not-taught-dies",
	 {{SET_VIEW, BOTH_SERVE, 0},
	  {HAND_OVER, NODE_A, A_SERVES},
	  {SET_VIEW, A_SERVES, 0},
	  {EXPECT_READY, 0, 0}}},
};

static struct node_view *view_of(uint32_t serving_mask)
{
	static uint64_t version;
	struct node nodes[NODE_COUNT] = {
		{.node_id = SELF_ID}, {.node_id = NODE_A}, {.node_id = NODE_B}};

	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		bool is_serving = i > 0 && (serving_mask >> (i - 1) & 1);

		nodes[i].zone_id = i;
		nodes[i].state = is_serving ? NODE_SERVING : NODE_JOINING;
	}
	return node_view_new(SELF_ID, ++version, nodes, NODE_COUNT);
}

static void set_view(struct flow_director *director, uint32_t serving_mask)
{
	struct node_view *view = view_of(serving_mask);

	flow_director_set_view(director, view, 0);
	node_view_free(view);
}

static void send_done(struct flow_director *director, uint64_t from_node_id,
		      struct flow_message *done)
{
	static uint32_t sequence;

	if (done->slot_count == 0)
		return;
	done->sequence = ++sequence;
	flow_director_handle_message(director, from_node_id, done, 0);
	done->slot_count = 0;
}

static void hand_over(struct flow_director *director, uint64_t from_node_id,
		      uint32_t serving_mask)
{
	struct node_view *view = view_of(serving_mask);
	struct home_map *homes = home_map_new(view);
	struct flow_message done = {
		.kind = FLOW_HANDOVER_DONE, .revision = 1, .base_revision = 1};

	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		const struct slot_homes *slot = home_map_at(homes, (uint16_t)i);

		if (slot->home != from_node_id || slot->next_home != SELF_ID)
			continue;
		done.slots[done.slot_count++] = (uint16_t)i;
		if (done.slot_count == FLOW_MESSAGE_SLOTS_MAX)
			send_done(director, from_node_id, &done);
	}
	send_done(director, from_node_id, &done);
	home_map_free(homes);
	node_view_free(view);
}

static void run_step(struct flow_director *director, const struct step *step)
{
	switch (step->action) {
	case SET_VIEW:
		set_view(director, step->a);
		return;
	case HAND_OVER:
		hand_over(director, step->a, step->b);
		return;
	case EXPECT_READY:
	case EXPECT_NOT_READY:
		ck_assert_int_eq(flow_director_is_ready(director),
				 step->action == EXPECT_READY);
		return;
	case END:
		return;
	}
}

static void drop_message(void *context, uint64_t to_node_id,
			 const struct flow_message *message)
{
}

START_TEST(test_join)
{
	struct flow_director_options options = {
		.flow_capacity = 64,
		.control_bytes_per_s = 100000,
		.callbacks = {.send = drop_message},
	};
	struct flow_director *director = flow_director_new(&options);
	struct rule_set *rules = rule_set_new(1);

	test_row("flow_join", rows[_i].name);
	flow_director_set_rules(director, rules, 0);
	rule_set_free(rules);
	for (const struct step *step = rows[_i].steps; step->action != END;
	     step++)
		run_step(director, step);
	flow_director_free(director);
}
END_TEST

/* What a node does with a packet of a flow that it has no record of. */
static const struct {
	const char *name;
	uint32_t node_count;
	enum node_state self_state;
	bool is_opening;
	enum placement_kind kind;
} packet_rows[] = {
	{"alone-and-joining-resumes-nothing", 1, NODE_JOINING, false,
	 PLACE_DROP},
	{"alone-and-joining-opens-flows", 1, NODE_JOINING, true,
	 PLACE_TO_TARGET},
	{"alone-and-serving-resumes", 1, NODE_SERVING, false, PLACE_TO_TARGET},
	{"all-joining-resume", 3, NODE_JOINING, false, PLACE_TO_TARGET},
};

static struct rule_set *make_rules(void)
{
	struct rule_set *rules = rule_set_new(1);
	struct rule *rule = g_new0(struct rule, 1);

	rule->service.service_id = 1;
	rule->generation = 1;
	rule->address_count = 1;
	rule->addresses = g_new0(struct endpoint, 1);
	endpoint_parse(&rule->addresses[0], "10.0.0.1:80");
	rule->target_count = 1;
	rule->targets = g_new0(struct target, 1);
	endpoint_parse(&rule->targets[0].endpoint, "10.1.0.1:80");
	rule->targets[0].service_id = 1;
	rule->targets[0].weight = 1;
	rule->targets[0].target_id = target_id_of(&rule->targets[0]);
	rule->comment = g_strdup("asked by the test");
	rule_set_add(rules, rule);
	return rules;
}

/* A packet whose slot's home is this node if no node serves. */
static struct packet_event make_packet(const struct node_view *view,
				       bool is_opening)
{
	struct packet_event event = {
		.kind = is_opening ? PACKET_FIRST : PACKET_MIDDLE,
		.key.protocol = FLOW_PROTOCOL_TCP,
	};
	struct home_map *homes = home_map_new(view);

	endpoint_parse(&event.key.service, "10.0.0.1:80");
	endpoint_parse(&event.key.caller, "192.0.2.1:1");
	while (home_map_at(homes, home_slot(flow_key_hash(&event.key, 0).low))
		       ->home != SELF_ID)
		event.key.caller.port++;
	home_map_free(homes);
	return event;
}

START_TEST(test_packet)
{
	struct flow_director_options options = {
		.flow_capacity = 64,
		.control_bytes_per_s = 100000,
		.callbacks = {.send = drop_message},
	};
	struct flow_director *director = flow_director_new(&options);
	struct rule_set *rules = make_rules();
	struct node nodes[NODE_COUNT] = {
		{.node_id = SELF_ID, .state = packet_rows[_i].self_state},
		{.node_id = NODE_A, .state = NODE_JOINING},
		{.node_id = NODE_B, .state = NODE_JOINING}};
	struct node_view *view =
		node_view_new(SELF_ID, 1, nodes, packet_rows[_i].node_count);
	struct packet_event event =
		make_packet(view, packet_rows[_i].is_opening);

	test_row("flow_join", packet_rows[_i].name);
	flow_director_set_rules(director, rules, 0);
	flow_director_set_view(director, view, 0);
	ck_assert_int_eq(flow_director_place_packet(director, &event, 1).kind,
			 packet_rows[_i].kind);
	node_view_free(view);
	rule_set_free(rules);
	flow_director_free(director);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_join");
	TCase *tcase = tcase_create("join");

	tcase_add_loop_test(tcase, test_join, 0, G_N_ELEMENTS(rows));
	tcase_add_loop_test(tcase, test_packet, 0, G_N_ELEMENTS(packet_rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
