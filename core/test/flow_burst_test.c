/*
 * A burst of rule changes during a handover must not queue the pools of the
 * services again for every change.
 */
#include <core/flow_director.h>
#include <core/flow_message.h>
#include <core/pool_history.h>
#include <fakes/test_main.h>
#include <glib.h>

#define TICK_MS 100
#define ANNOUNCE_MS 10000
#define SERVICE_COUNT 5
#define SERVICE_FIRST 0x0a000001U
#define TARGET_FIRST 0x0a010001U
#define ZONE_COUNT 4
#define NODE_COUNT_MAX 16

/* Number of nodes and number of consecutive rule changes. */
static const struct {
	const char *name;
	uint32_t node_count;
	uint32_t change_count;
} rows[] = {
	{"one-receiver", 2, 30},
	{"seven-receivers", 8, 30},
	{"fifteen-receivers", 16, 100},
};

/* A received message to be acknowledged. */
struct received_message {
	uint64_t node_id;
	uint32_t sequence;
};

/*
 * Records messages to be acknowledged. FLOW_HANDOVER_DONE is not among them, so
 * that slots stay announced.
 */
static void receive(void *context, uint64_t to_node_id,
		    const struct flow_message *message)
{
	struct received_message received = {to_node_id, message->sequence};

	if (message->kind != FLOW_HANDOVER_DONE && message->kind != FLOW_ACK)
		g_array_append_val((GArray *)context, received);
}

static void tick(struct flow_director *director, GArray *inbox, int64_t now_ms)
{
	flow_director_tick(director, now_ms);
	for (guint i = 0; i < inbox->len; i++) {
		struct received_message *received =
			&g_array_index(inbox, struct received_message, i);
		struct flow_message ack = {.kind = FLOW_ACK,
					   .sequence = received->sequence};

		flow_director_handle_message(director, received->node_id, &ack,
					     now_ms);
	}
	g_array_set_size(inbox, 0);
}

static struct rule_set *make_rules(uint64_t revision)
{
	struct rule_set *rules = rule_set_new(revision);

	for (uint32_t i = 0; i < SERVICE_COUNT; i++) {
		struct rule *rule = g_new0(struct rule, 1);

		rule->service.service_id = i + 1;
		rule->generation = revision;
		rule->address_count = 1;
		rule->addresses = g_new0(struct endpoint, 1);
		rule->addresses[0].addr = ip_addr_from_v4(SERVICE_FIRST + i);
		rule->addresses[0].port = 80;
		rule->target_count = 1;
		rule->targets = g_new0(struct target, 1);
		rule->targets[0].endpoint.addr =
			ip_addr_from_v4(TARGET_FIRST + i);
		rule->targets[0].endpoint.port = 80;
		rule->targets[0].service_id = i + 1;
		rule->targets[0].weight = (uint32_t)(revision % 7) + 1;
		rule->targets[0].target_id = target_id_of(&rule->targets[0]);
		rule->comment = g_strdup("asked by the test");
		rule_set_add(rules, rule);
	}
	return rules;
}

static void set_rules(struct flow_director *director, uint64_t revision,
		      int64_t now_ms)
{
	struct rule_set *rules = make_rules(revision);

	flow_director_set_rules(director, rules, now_ms);
	rule_set_free(rules);
}

static void set_nodes(struct flow_director *director, uint32_t node_count)
{
	struct node nodes[NODE_COUNT_MAX] = {{.node_id = 0}};
	struct node_view *view;

	for (uint32_t i = 0; i < node_count; i++) {
		nodes[i].node_id = i + 1;
		nodes[i].zone_id = i % ZONE_COUNT;
		nodes[i].state = NODE_SERVING;
	}
	view = node_view_new(1, 1, nodes, node_count);
	flow_director_set_view(director, view, 0);
	node_view_free(view);
}

START_TEST(test_burst)
{
	GArray *inbox =
		g_array_new(FALSE, FALSE, sizeof(struct received_message));
	struct flow_director_options options = {
		.flow_capacity = 1024,
		.control_bytes_per_s = 100000,
		.callbacks = {.context = inbox, .send = receive},
	};
	struct flow_director *director = flow_director_new(&options);
	uint32_t receiver_count = rows[_i].node_count - 1;
	uint32_t queued_max = receiver_count * SERVICE_COUNT * POOL_HISTORY_MAX;
	int64_t now_ms = 0;

	test_row("flow_burst", rows[_i].name);
	set_rules(director, 1, 0);
	set_nodes(director, rows[_i].node_count);
	set_rules(director, 2, 0);
	flow_director_leave(director, 0);
	for (; now_ms < ANNOUNCE_MS; now_ms += TICK_MS)
		tick(director, inbox, now_ms);
	for (uint32_t i = 0; i < rows[_i].change_count; i++) {
		set_rules(director, i + 3, now_ms);
		ck_assert_msg(flow_director_queued_count(director) <=
				      queued_max,
			      "%s: %u messages queued after %u changes",
			      rows[_i].name,
			      flow_director_queued_count(director), i + 1);
		now_ms += TICK_MS;
		tick(director, inbox, now_ms);
	}
	flow_director_free(director);
	g_array_free(inbox, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_burst");
	TCase *tcase = tcase_create("burst");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test_burst, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
