/* Asking for explanations changes no later decision, and foretells the next. */
#include "relay_route_steps.h"

#define ASKED_PACKET_COUNT 400
#define ASK_COUNT 5
#define STEP_MS 7

/*
 * The number of nodes, of cold targets, whether the route is split, and how
 * many flows the node can remember.
 */
static const struct {
	const char *name;
	uint32_t node_count;
	uint32_t cold_count;
	bool is_split;
	uint32_t capacity;
} asked_rows[] = {
	{"least-loaded", 1, 0, false, ASKED_PACKET_COUNT},
	{"in-turn", 9, 0, false, ASKED_PACKET_COUNT},
	{"cold", 1, 3, false, ASKED_PACKET_COUNT},
	{"split", 1, 0, true, ASKED_PACKET_COUNT},
	{"full-table", 1, 0, false, FLOW_CAPACITY},
	{"split-in-turn-cold", 9, 3, true, ASKED_PACKET_COUNT},
};

static void set_up_asked(struct relay_director *director, uint32_t row)
{
	struct relay_route_table *table =
		relay_route_table_new(1, IDLE_TIMEOUT_MS);
	struct relay_route route = {
		.share_count = asked_rows[row].is_split ? 2 : 1,
		.shares = (struct relay_share[]){{SERVICE_ID, 2},
						 {OTHER_SERVICE_ID, 1}}};
	const struct relay_service service = {SERVICE_ID, WARMUP_MS, 2000};
	const struct step lists = {0, LISTS, 0, 0, NOTHING};

	endpoint_parse(&route.address, "198.18.0.1:443");
	relay_route_table_add(table, &route);
	relay_route_table_add_service(table, &service);
	relay_director_set_routes(director, table);
	list_self(director, &lists);
	relay_director_set_node_count(director, asked_rows[row].node_count);
	for (uint32_t i = 0; i < 12; i++) {
		const struct target target = {
			.target_id = 100 + i,
			.incarnation = 1,
			.service_id =
				i % 4 == 3 ? OTHER_SERVICE_ID : SERVICE_ID,
			.zone_id = i % 3 ? OWN_ZONE : OTHER_ZONE,
			.slot_count = 4,
		};

		relay_directory_put(
			relay_director_directory(director), &target,
			i < asked_rows[row].cold_count ? WARMUP_MS : 0, 0);
	}
}

/* Returns the target of the next flow by the explanation, 0 if refused. */
static uint64_t ask(struct relay_director *director, int64_t now_ms)
{
	struct relay_route_question question = make_question();
	struct relay_route_explanation *explanation;
	uint64_t target_id = 0;
	uint32_t next_count = 0;

	question.has_caller = false;
	explanation = relay_route_explain(director, &question, now_ms);
	for (uint32_t i = 0; i < explanation->service_count; i++) {
		if (!explanation->services[i].is_next)
			continue;
		next_count++;
		target_id = explanation->services[i].target_id;
	}
	ck_assert_uint_eq(next_count, 1);
	relay_route_explanation_free(explanation);
	return target_id;
}

/*
 * Of two equal nodes one is asked before each decision, at different times too;
 * both decide the same, and what was told last.
 */
START_TEST(test_asking_changes_nothing)
{
	struct observed observed = {.resend_count = 0};
	struct relay_director *asked =
		make_director(&observed, asked_rows[_i].capacity);
	struct relay_director *other =
		make_director(&observed, asked_rows[_i].capacity);
	int64_t now_ms = 3000;

	test_row("relay_route_trace", asked_rows[_i].name);
	set_up_asked(asked, _i);
	set_up_asked(other, _i);
	for (uint32_t i = 1; i <= ASKED_PACKET_COUNT; i++) {
		const struct step step = {now_ms, OPENS, 10 + i, i, NOTHING};
		struct observed first;
		uint64_t told = 0;

		for (int64_t k = ASK_COUNT - 1; k >= 0; k--)
			told = ask(asked, now_ms - k);
		run_step(asked, &step, &observed);
		first = observed;
		run_step(other, &step, &observed);
		ck_assert_uint_eq(first.verdict.target_id, told);
		ck_assert_uint_eq(first.verdict.target_id,
				  observed.verdict.target_id);
		ck_assert_int_eq(first.verdict.reason, observed.verdict.reason);
		ck_assert_uint_eq(relay_director_flow_count(asked),
				  relay_director_flow_count(other));
		now_ms += STEP_MS;
	}
	relay_director_free(asked);
	relay_director_free(other);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_route_trace");
	TCase *tcase = tcase_create("relay_route_trace");

	tcase_add_loop_test(tcase, test_asking_changes_nothing, 0,
			    G_N_ELEMENTS(asked_rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
