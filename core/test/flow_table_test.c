#include <core/flow_director.h>
#include <core/flow_table.h>
#include <fakes/test_main.h>

#define CAPACITY 1024
#define ESTABLISHED_COUNT 700
#define FLOOD_COUNT 20000
#define MS_PER_S 1000

/* A state, the idle time of a flow in it, and whether it is kept. */
static const struct {
	const char *name;
	enum flow_state state;
	uint32_t idle_ms;
	bool is_kept;
} idle_rows[] = {
	{"embryonic, 9 s", FLOW_EMBRYONIC, 9 * MS_PER_S, true},
	{"embryonic, 11 s", FLOW_EMBRYONIC, 11 * MS_PER_S, false},
	{"established, 14 min", FLOW_ESTABLISHED, 14 * 60 * MS_PER_S, true},
	{"established, 16 min", FLOW_ESTABLISHED, 16 * 60 * MS_PER_S, false},
	{"closing, 19 s", FLOW_CLOSING, 19 * MS_PER_S, true},
	{"closing, 21 s", FLOW_CLOSING, 21 * MS_PER_S, false},
	{"datagram, 2 min", FLOW_DATAGRAM, 2 * 60 * MS_PER_S, true},
	{"datagram, 4 min", FLOW_DATAGRAM, 4 * 60 * MS_PER_S, false},
};

START_TEST(test_idle)
{
	struct flow_table *table = flow_table_new(CAPACITY);
	struct flow_record *record =
		flow_table_insert(table, 1, idle_rows[_i].state, MS_PER_S);

	ck_assert(
		flow_table_is_idle(record, MS_PER_S + idle_rows[_i].idle_ms) !=
		idle_rows[_i].is_kept);
	flow_table_free(table);
}
END_TEST

static enum sweep_action remove_even(void *context, struct flow_record *record)
{
	return record->hash_low % 2 == 0 ? SWEEP_REMOVE : SWEEP_KEEP;
}

/* Removal keeps all other records reachable, also after collisions. */
START_TEST(test_removal)
{
	static const uint64_t multipliers[] = {1, 1ULL << 32, 1ULL << 33,
					       1ULL << 40, 0x9e3779b97f4a7c15};
	struct flow_table *table = flow_table_new(CAPACITY);

	for (uint64_t i = 1; i <= CAPACITY; i++)
		ck_assert(flow_table_insert(table,
					    i * multipliers[_i] * 2 + i % 2,
					    FLOW_ESTABLISHED, 0));
	ck_assert(!flow_table_insert(table, 7, FLOW_ESTABLISHED, 0));
	flow_table_sweep(table, flow_table_bucket_count(table), NULL,
			 remove_even);
	for (uint64_t i = 1; i <= CAPACITY; i++) {
		uint64_t hash_low = i * multipliers[_i] * 2 + i % 2;

		ck_assert((flow_table_find(table, hash_low) != NULL) ==
			  (hash_low % 2 == 1));
	}
	flow_table_free(table);
}
END_TEST

static void drop_message(void *context, uint64_t to_node_id,
			 const struct flow_message *message)
{
}

static struct packet_event make_event(uint32_t flow_index,
				      enum packet_kind kind)
{
	struct packet_event event = {.kind = kind};

	event.key.protocol = FLOW_PROTOCOL_TCP;
	event.key.caller.addr = ip_addr_from_v4(flow_index + 1);
	event.key.caller.port = 1000;
	ck_assert(endpoint_parse(&event.key.service, "10.0.0.1:80"));
	return event;
}

static struct flow_director *make_director(void)
{
	struct flow_director_options options = {
		.flow_capacity = CAPACITY,
		.control_bytes_per_s = 3000,
		.callbacks = {.send = drop_message},
	};
	struct flow_director *director = flow_director_new(&options);
	struct rule_set *rules = rule_set_new(1);
	struct node self = {.node_id = 1, .state = NODE_SERVING};
	struct node_view *view = node_view_new(1, 1, &self, 1);

	rule_set_add(rules,
		     rule_parse("order-desk address=10.0.0.1:80 "
				"pool=10.1.0.1:80,10.1.0.2:80,10.1.0.3:80 "
				"# asked by Lin Yu-ting",
				NULL));
	flow_director_set_rules(director, rules, 1);
	flow_director_set_view(director, view, 1);
	node_view_free(view);
	rule_set_free(rules);
	return director;
}

static struct placement send_packet(struct flow_director *director,
				    uint32_t flow_index, enum packet_kind kind,
				    int64_t now_ms)
{
	struct packet_event event = make_event(flow_index, kind);

	return flow_director_place_packet(director, &event, now_ms);
}

/* What fills the table, and the expected placement of a new flow. */
static const struct {
	const char *name;
	bool is_established;
	enum placement_kind kind;
	enum reason reason;
} full_rows[] = {
	{"flood-of-first-packets", false, PLACE_TO_TARGET,
	 REASON_FIRST_PACKET_LIMIT},
	{"flood-of-flows", true, PLACE_DROP, REASON_TABLE_FULL},
};

/* Existing flows keep their records and targets during a flood. */
START_TEST(test_full)
{
	struct flow_director *director = make_director();
	uint64_t target_ids[ESTABLISHED_COUNT];
	uint64_t refused_count = 0;
	struct placement placement;

	test_row("flow_table", full_rows[_i].name);
	for (uint32_t i = 0; i < ESTABLISHED_COUNT; i++) {
		send_packet(director, i, PACKET_FIRST, 2);
		placement = send_packet(director, i, PACKET_MIDDLE, 2);
		target_ids[i] = placement.target_id;
	}
	for (uint32_t i = ESTABLISHED_COUNT; i < FLOOD_COUNT; i++) {
		placement = send_packet(director, i, PACKET_FIRST, 3);
		refused_count += placement.reason == full_rows[_i].reason;
		if (full_rows[_i].is_established)
			send_packet(director, i, PACKET_MIDDLE, 3);
		if (placement.reason == full_rows[_i].reason)
			ck_assert(placement.kind == full_rows[_i].kind);
	}
	ck_assert_uint_gt(refused_count, 0);
	ck_assert_uint_le(flow_director_flow_count(director), CAPACITY);
	for (uint32_t i = 0; i < ESTABLISHED_COUNT; i++) {
		placement = send_packet(director, i, PACKET_MIDDLE, 4);
		ck_assert(placement.reason == REASON_RECORD);
		ck_assert_uint_eq(placement.target_id, target_ids[i]);
	}
	flow_director_free(director);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_table");
	TCase *tcase = tcase_create("table");

	tcase_add_loop_test(tcase, test_idle, 0,
			    sizeof(idle_rows) / sizeof(idle_rows[0]));
	tcase_add_loop_test(tcase, test_removal, 0, 5);
	tcase_add_loop_test(tcase, test_full, 0,
			    sizeof(full_rows) / sizeof(full_rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
