#include <fakes/flow_fleet.h>
#include <fakes/test_main.h>
#include <inttypes.h>

#define WARM_UP_MS 12000
#define CHANGE_MS 1000
#define AFTER_MS 40000
#define LONG_FLOW_COUNT 2000
#define NEW_FLOWS_PER_S 100
#define CONTROL_BYTES_PER_S 3000
#define SPARE 8

/* A planned change; nth tells the second of a kind from the first. */
struct change {
	const char *name;
	void (*apply)(struct flow_fleet *fleet, uint32_t nth);
};

static void drain_target(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_target(fleet, 3 + nth, TARGET_LEAVING);
}

static void add_target(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_pool(fleet, 0, 16 + nth, 3);
	flow_fleet_publish(fleet);
}

static void grow_pool(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_pool(fleet, 0, 20 + 5 * nth, 3);
	flow_fleet_publish(fleet);
}

static void halve_pool(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_pool(fleet, 0, 8 - 4 * nth, 3);
	flow_fleet_publish(fleet);
}

static void change_weight(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_pool(fleet, 0, 15, 6 + 3 * nth);
	flow_fleet_publish(fleet);
}

static void edit_rule(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_publish(fleet);
}

static void node_leaves(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_leave(fleet, 2 + nth);
}

static void node_joins(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_join(fleet, SPARE + nth);
}

static const struct change changes[] = {
	{"target-drains", drain_target},   {"target-added", add_target},
	{"pool-grown", grow_pool},	   {"pool-halved", halve_pool},
	{"weight-changed", change_weight}, {"rule-edited", edit_rule},
	{"node-leaves", node_leaves},	   {"node-joins", node_joins},
};

#define CHANGE_COUNT (sizeof(changes) / sizeof(changes[0]))

static struct flow_fleet *make_fleet(void)
{
	struct flow_fleet_options options = {
		.node_count = 8,
		.spare_count = 2,
		.zone_count = 4,
		.target_count = 15,
		.long_flow_count = LONG_FLOW_COUNT,
		.new_flows_per_s = NEW_FLOWS_PER_S,
		.control_bytes_per_s = CONTROL_BYTES_PER_S,
		.spread_ms = 2000,
		.seed = 1,
		.link = {.delay_ms = 1, .jitter_ms = 2},
	};

	return flow_fleet_new(&options);
}

static void check_counts(const struct flow_fleet *fleet, const char *name)
{
	struct flow_fleet_counts counts = flow_fleet_counts(fleet);

	ck_assert_msg(counts.opened_count > LONG_FLOW_COUNT, "%s", name);
	ck_assert_msg(counts.broken_count == 0, "%s: %" PRIu64 " broken", name,
		      counts.broken_count);
	ck_assert_msg(counts.wrong_service_count == 0, "%s: wrong service",
		      name);
	ck_assert_msg(counts.leaving_count == 0, "%s: leaving target", name);
}

/* Two changes at once, the second a second after the first. */
START_TEST(test_planned)
{
	const struct change *first = &changes[_i / CHANGE_COUNT];
	const struct change *second = &changes[_i % CHANGE_COUNT];
	struct flow_fleet *fleet;
	char name[64];

	/* A pair in the other order is the same pair. */
	if (second < first)
		return;
	g_snprintf(name, sizeof(name), "%s+%s", first->name, second->name);
	test_row("flow_director", name);
	fleet = make_fleet();
	flow_fleet_run(fleet, WARM_UP_MS);
	first->apply(fleet, 0);
	flow_fleet_run(fleet, CHANGE_MS);
	second->apply(fleet, second == first);
	flow_fleet_run(fleet, AFTER_MS);
	check_counts(fleet, name);
	flow_fleet_free(fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_director");
	TCase *tcase = tcase_create("planned");

	tcase_set_timeout(tcase, 300);
	tcase_add_loop_test(tcase, test_planned, 0,
			    CHANGE_COUNT * CHANGE_COUNT);
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
