/* Facts and events in order, and the rules that they break. */
#include <fakes/test_main.h>
#include <soak/soak_judge.h>

#define STEP_COUNT_MAX 12
#define NODE_COUNT 2
#define SERVICE_A 0
#define SERVICE_B 1
#define PORT_A 443
#define PORT_B 444

enum verb {
	END,
	/* Facts: a is a node or host, or a port; b a service or version. */
	HOST_READY,
	HOST_DRAINS,
	HOST_CRASHES,
	HOST_LEAVES,
	ROUTE,
	ROUTE_MOVES,
	ROUTE_GOES,
	NODE_DISTURBED,
	NODE_CALM,
	NODE_STARTED,
	STORE_DISTURBED,
	STORE_CALM,
	QUIET,
	PROCESS_FAULT,
	/* Events: a is a host, or a port for callers; b a flow or request. */
	TAKES,
	TAKES_BY_OTHER,
	OPENS,
	RUNS,
	STRAY,
	GETS_CHANGED,
	ANSWERED,
	RESET,
	REFUSED,
};

struct step {
	int64_t at_ms;
	enum verb verb;
	uint32_t a;
	uint32_t b;
};

/* rule: the one broken, SOAK_RULE_COUNT for none. */
static const struct {
	const char *name;
	enum soak_rule rule;
	struct step steps[STEP_COUNT_MAX];
} rows[] = {
	{"calm-flow",
	 SOAK_RULE_COUNT,
	 {{1, TAKES, 0, PORT_A},
	  {2, OPENS, 0, PORT_A},
	  {3, RUNS, 0, 1},
	  {4, ANSWERED, PORT_A, 0},
	  {5, QUIET, 0, 0},
	  {6, ANSWERED, PORT_A, 5}}},
	{"host-of-another-service", SOAK_RULE_SERVICE, {{1, TAKES, 0, PORT_B}}},
	{"address-that-never-had-a-route",
	 SOAK_RULE_SERVICE,
	 {{1, TAKES, 0, 77}}},
	{"packet-of-a-flow-to-another-service",
	 SOAK_RULE_SERVICE,
	 {{1, STRAY, 0, PORT_B}}},
	{"draining-host-within-the-bound",
	 SOAK_RULE_COUNT,
	 {{0, HOST_DRAINS, 0, 0}, {4000, TAKES, 0, PORT_A}}},
	{"draining-host-after-the-bound",
	 SOAK_RULE_DRAIN,
	 {{0, HOST_DRAINS, 0, 0}, {4001, TAKES, 0, PORT_A}}},
	{"draining-host-through-a-node-just-disturbed",
	 SOAK_RULE_COUNT,
	 {{0, HOST_DRAINS, 0, 0},
	  {1, NODE_DISTURBED, 0, 0},
	  {2000, NODE_CALM, 0, 0},
	  {5999, TAKES, 0, PORT_A}}},
	{"draining-host-through-a-node-calm-again",
	 SOAK_RULE_DRAIN,
	 {{0, HOST_DRAINS, 0, 0},
	  {1, NODE_DISTURBED, 0, 0},
	  {2000, NODE_CALM, 0, 0},
	  {6000, TAKES, 0, PORT_A}}},
	{"draining-host-while-the-store-is-disturbed",
	 SOAK_RULE_COUNT,
	 {{0, HOST_DRAINS, 0, 0},
	  {1, STORE_DISTURBED, 0, 0},
	  {9000, TAKES, 0, PORT_A}}},
	{"draining-host-through-another-node-than-the-disturbed",
	 SOAK_RULE_DRAIN,
	 {{0, HOST_DRAINS, 0, 0},
	  {1, NODE_DISTURBED, 0, 0},
	  {4001, TAKES_BY_OTHER, 0, PORT_A}}},
	{"overlapping-disturbances",
	 SOAK_RULE_COUNT,
	 {{0, HOST_DRAINS, 0, 0},
	  {1, NODE_DISTURBED, 0, 0},
	  {2, NODE_DISTURBED, 0, 0},
	  {3, NODE_CALM, 0, 0},
	  {9000, TAKES, 0, PORT_A}}},
	{"removed-route-within-the-bound",
	 SOAK_RULE_COUNT,
	 {{0, ROUTE_GOES, PORT_A, 2}, {4000, TAKES, 0, PORT_A}}},
	{"removed-route-after-the-bound",
	 SOAK_RULE_CONFIG,
	 {{0, ROUTE_GOES, PORT_A, 2}, {4001, TAKES, 0, PORT_A}}},
	{"moved-route-within-the-bound",
	 SOAK_RULE_COUNT,
	 {{0, ROUTE_MOVES, PORT_A, SERVICE_B}, {4000, TAKES, 0, PORT_A}}},
	{"moved-route-after-the-bound",
	 SOAK_RULE_CONFIG,
	 {{0, ROUTE_MOVES, PORT_A, SERVICE_B}, {4001, TAKES, 0, PORT_A}}},
	{"node-that-goes-back",
	 SOAK_RULE_GOES_BACK,
	 {{0, ROUTE_GOES, PORT_A, 2},
	  {1, ROUTE, PORT_B, 3},
	  {2, TAKES, 1, PORT_B},
	  {1003, TAKES, 0, PORT_A}}},
	{"two-nodes-of-two-versions",
	 SOAK_RULE_COUNT,
	 {{0, ROUTE_GOES, PORT_A, 2},
	  {1, ROUTE, PORT_B, 3},
	  {2, TAKES, 1, PORT_B},
	  {1003, TAKES_BY_OTHER, 0, PORT_A}}},
	{"node-started-anew-on-an-older-version",
	 SOAK_RULE_COUNT,
	 {{0, ROUTE_GOES, PORT_A, 2},
	  {1, ROUTE, PORT_B, 3},
	  {2, TAKES, 1, PORT_B},
	  {3, NODE_STARTED, 0, 0},
	  {1003, TAKES, 0, PORT_A}}},
	{"open-flow-reset",
	 SOAK_RULE_FLOW_RESET,
	 {{0, NODE_DISTURBED, 0, 0},
	  {1, OPENS, 0, PORT_A},
	  {2, RESET, PORT_A, 0}}},
	{"reset-before-the-flow-is-open",
	 SOAK_RULE_COUNT,
	 {{0, NODE_DISTURBED, 0, 0}, {2, RESET, PORT_A, 0}}},
	{"open-flow-of-a-dead-host-reset",
	 SOAK_RULE_COUNT,
	 {{1, OPENS, 0, PORT_A},
	  {2, HOST_CRASHES, 0, 0},
	  {3, RESET, PORT_A, 0}}},
	{"open-flow-of-a-removed-route-reset",
	 SOAK_RULE_COUNT,
	 {{1, OPENS, 0, PORT_A},
	  {2, ROUTE_GOES, PORT_A, 2},
	  {3, RESET, PORT_A, 0}}},
	{"packets-at-another-host",
	 SOAK_RULE_FLOW_MOVED,
	 {{0, HOST_READY, 2, SERVICE_A},
	  {1, OPENS, 0, PORT_A},
	  {2, STRAY, 2, PORT_A},
	  {3, STRAY, 2, PORT_A},
	  {4, STRAY, 2, PORT_A}}},
	{"two-packets-at-another-host",
	 SOAK_RULE_COUNT,
	 {{0, HOST_READY, 2, SERVICE_A},
	  {1, OPENS, 0, PORT_A},
	  {2, STRAY, 2, PORT_A},
	  {3, STRAY, 2, PORT_A}}},
	{"packets-at-another-host-after-a-crash",
	 SOAK_RULE_COUNT,
	 {{0, HOST_READY, 2, SERVICE_A},
	  {1, OPENS, 0, PORT_A},
	  {2, HOST_CRASHES, 0, 0},
	  {3, STRAY, 2, PORT_A},
	  {4, STRAY, 2, PORT_A},
	  {5, STRAY, 2, PORT_A}}},
	{"packet-changed", SOAK_RULE_CHANGED, {{1, GETS_CHANGED, 0, PORT_A}}},
	{"request-run-twice",
	 SOAK_RULE_RUN_TWICE,
	 {{1, RUNS, 0, 9}, {2, RUNS, 0, 9}}},
	{"requests-run-once-each",
	 SOAK_RULE_COUNT,
	 {{1, RUNS, 0, 9}, {2, RUNS, 0, 10}}},
	{"refused-in-calm",
	 SOAK_RULE_CALM_FAILURE,
	 {{5000, REFUSED, PORT_A, 4900}}},
	{"refused-on-a-new-route",
	 SOAK_RULE_COUNT,
	 {{1000, ROUTE, PORT_B, 2}, {4000, REFUSED, PORT_B, 3900}}},
	{"refused-on-a-removed-route",
	 SOAK_RULE_COUNT,
	 {{0, ROUTE_GOES, PORT_A, 2}, {9000, REFUSED, PORT_A, 8900}}},
	{"refused-soon-after-a-crash",
	 SOAK_RULE_COUNT,
	 {{1000, HOST_CRASHES, 0, 0}, {5000, REFUSED, PORT_A, 4999}}},
	{"refused-long-after-a-crash",
	 SOAK_RULE_CALM_FAILURE,
	 {{1000, HOST_CRASHES, 0, 0}, {5100, REFUSED, PORT_A, 5000}}},
	{"refused-after-planned-work",
	 SOAK_RULE_CALM_FAILURE,
	 {{4000, HOST_LEAVES, 0, 0}, {5000, REFUSED, PORT_A, 4900}}},
	{"fault-in-the-middle-of-a-request",
	 SOAK_RULE_COUNT,
	 {{6000, HOST_CRASHES, 0, 0}, {7000, REFUSED, PORT_A, 5000}}},
	{"not-served-again",
	 SOAK_RULE_RECOVERY,
	 {{0, STORE_DISTURBED, 0, 0},
	  {5, QUIET, 0, 0},
	  {6, ANSWERED, PORT_A, 5},
	  {7, REFUSED, PORT_A, 5}}},
	{"failures-begun-before-the-quiet-time",
	 SOAK_RULE_COUNT,
	 {{0, STORE_DISTURBED, 0, 0},
	  {5, QUIET, 0, 0},
	  {6, ANSWERED, PORT_A, 5},
	  {7, REFUSED, PORT_A, 4}}},
	{"nothing-served-at-the-end",
	 SOAK_RULE_RECOVERY,
	 {{5, QUIET, 0, 0}, {6, ANSWERED, PORT_A, 4}}},
	{"process-that-dies", SOAK_RULE_PROCESS, {{1, PROCESS_FAULT, 0, 0}}},
};

static const enum soak_fact_kind fact_kinds[] = {
	[HOST_READY] = SOAK_HOST_READY,
	[HOST_DRAINS] = SOAK_HOST_DRAINING,
	[HOST_CRASHES] = SOAK_HOST_GONE,
	[HOST_LEAVES] = SOAK_HOST_GONE,
	[ROUTE] = SOAK_ROUTE_PRESENT,
	[ROUTE_MOVES] = SOAK_ROUTE_PRESENT,
	[ROUTE_GOES] = SOAK_ROUTE_REMOVED,
	[NODE_DISTURBED] = SOAK_NODE_DISTURBED,
	[NODE_CALM] = SOAK_NODE_CALM,
	[NODE_STARTED] = SOAK_NODE_STARTED,
	[STORE_DISTURBED] = SOAK_STORE_DISTURBED,
	[STORE_CALM] = SOAK_STORE_CALM,
	[QUIET] = SOAK_QUIET,
	[PROCESS_FAULT] = SOAK_PROCESS_FAULT,
};

static const enum flow_event_kind event_kinds[] = {
	[TAKES] = FLOW_EVENT_OPENING_ACCEPTED,
	[TAKES_BY_OTHER] = FLOW_EVENT_OPENING_ACCEPTED,
	[OPENS] = FLOW_EVENT_OPENED,
	[RUNS] = FLOW_EVENT_REQUEST_RUN,
	[STRAY] = FLOW_EVENT_UNKNOWN_FLOW,
	[GETS_CHANGED] = FLOW_EVENT_HOST_GOT_CORRUPT,
	[ANSWERED] = FLOW_EVENT_ANSWERED,
	[RESET] = FLOW_EVENT_RESET,
	[REFUSED] = FLOW_EVENT_OPENING_RESET,
};

static struct endpoint endpoint_of(uint32_t last, uint16_t port)
{
	return (struct endpoint){.addr = ip_addr_from_v4(0x7f000000u + last),
				 .port = port};
}

static uint32_t service_of_port(uint32_t port)
{
	return port == PORT_B ? SERVICE_B : SERVICE_A;
}

static void tell(struct soak_judge *judge, const struct step *step)
{
	struct soak_fact fact = {
		.kind = fact_kinds[step->verb],
		.at_ms = step->at_ms,
		.subject = step->a,
		.service = step->b,
		.is_planned = step->verb == HOST_LEAVES,
	};

	if (step->verb >= ROUTE && step->verb <= ROUTE_GOES) {
		fact.address = endpoint_of(9, (uint16_t)step->a);
		fact.version = step->b;
		fact.service = step->verb == ROUTE_MOVES
				       ? step->b
				       : service_of_port(step->a);
	}
	soak_judge_fact(judge, &fact);
}

static bool is_of_caller(enum verb verb)
{
	return verb == ANSWERED || verb == RESET || verb == REFUSED;
}

static void show(struct soak_judge *judge, const struct step *step)
{
	struct flow_event event = {
		.kind = event_kinds[step->verb],
		.at_ms = step->at_ms,
		.started_ms = is_of_caller(step->verb) ? step->b : 0,
		.caller = endpoint_of(8, 1),
		.service = endpoint_of(9, PORT_A),
		.node = endpoint_of(step->verb == TAKES_BY_OTHER ? 2 : 1, 7000),
		.host = step->a,
		.request_id = step->b,
	};

	if (is_of_caller(step->verb))
		event.service.port = (uint16_t)step->a;
	else if (step->verb != RUNS)
		event.service.port = (uint16_t)step->b;
	soak_judge_event(judge, &event);
}

/* Two nodes, a host of each service, and a route to each long ago. */
static struct soak_judge *make_judge(const struct endpoint *nodes)
{
	static const struct step before[] = {
		{-9000, HOST_READY, 0, SERVICE_A},
		{-9000, HOST_READY, 1, SERVICE_B},
		{-9000, ROUTE, PORT_A, 1},
		{-9000, ROUTE, PORT_B, 1},
	};
	struct soak_judge_options options = {nodes, NODE_COUNT, 0};
	struct soak_judge *judge = soak_judge_new(&options);

	for (size_t i = 0; i < G_N_ELEMENTS(before); i++)
		tell(judge, &before[i]);
	return judge;
}

START_TEST(test_row_of_steps)
{
	const struct endpoint nodes[] = {endpoint_of(1, 7000),
					 endpoint_of(2, 7000)};
	struct soak_judge *judge = make_judge(nodes);
	const struct soak_tally *tally = soak_judge_tally(judge);
	bool is_quiet = false;

	test_row("soak_judge", rows[_i].name);
	for (const struct step *step = rows[_i].steps; step->verb != END;
	     step++) {
		is_quiet = is_quiet || step->verb == QUIET;
		if (step->verb >= TAKES)
			show(judge, step);
		else
			tell(judge, step);
	}
	if (is_quiet)
		soak_judge_finish(judge, 0);
	for (int i = 0; i < SOAK_RULE_COUNT; i++)
		ck_assert_msg(
			(soak_tally_broken_count(tally, (enum soak_rule)i) >
			 0) == (i == (int)rows[_i].rule),
			"rule %s: broken %u times",
			soak_rule_name((enum soak_rule)i),
			soak_tally_broken_count(tally, (enum soak_rule)i));
	soak_judge_free(judge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("soak_judge");
	TCase *tcase = tcase_create("soak_judge");

	tcase_add_loop_test(tcase, test_row_of_steps, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
