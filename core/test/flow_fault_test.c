#include <fakes/flow_change.h>
#include <fakes/test_main.h>
#include <inttypes.h>

#define WARM_UP_MS 12000
#define SETTLE_MS 45000
#define LONG_FLOW_COUNT 2000
#define NEW_FLOWS_PER_S 100
#define CONTROL_BYTES_PER_S 3000
#define NODE_COUNT 8
#define SPARE_COUNT 3
#define INSTANCE_COUNT (NODE_COUNT + SPARE_COUNT)

/* Maximum numbers of broken flows: any number, and none. */
#define BROKEN_ANY UINT32_MAX
#define BROKEN_NONE 0

/* The mean number of flows per home plus half as many for imbalance. */
#define BROKEN_ONE_HOME (LONG_FLOW_COUNT / NODE_COUNT * 3 / 2)

static void kill_node(struct flow_fleet *fleet)
{
	flow_fleet_kill(fleet, 2);
}

static void kill_two_nodes(struct flow_fleet *fleet)
{
	flow_fleet_kill(fleet, 2);
	flow_fleet_run(fleet, 500);
	flow_fleet_kill(fleet, 5);
}

static void grow_pool(struct flow_fleet *fleet)
{
	flow_fleet_set_pool(fleet, 0, 20, 3);
	flow_fleet_publish_rules(fleet);
}

static void shrink_pool(struct flow_fleet *fleet)
{
	flow_fleet_set_pool(fleet, 0, 8, 3);
	flow_fleet_publish_rules(fleet);
}

static void kill_while_pool_grows(struct flow_fleet *fleet)
{
	grow_pool(fleet);
	flow_fleet_run(fleet, 1000);
	flow_fleet_kill(fleet, 2);
}

static void kill_while_another_leaves(struct flow_fleet *fleet)
{
	flow_fleet_leave(fleet, 3);
	flow_fleet_run(fleet, 1000);
	flow_fleet_kill(fleet, 2);
}

static void kill_while_leaving(struct flow_fleet *fleet)
{
	flow_fleet_leave(fleet, 3);
	flow_fleet_run(fleet, 300);
	flow_fleet_kill(fleet, 3);
}

static void kill_while_joining(struct flow_fleet *fleet)
{
	flow_fleet_join(fleet, NODE_COUNT);
	flow_fleet_run(fleet, 700);
	flow_fleet_kill(fleet, NODE_COUNT);
}

static void pause_and_resume(struct flow_fleet *fleet)
{
	flow_fleet_pause(fleet, 2, true);
	flow_fleet_run(fleet, 30000);
	flow_fleet_pause(fleet, 2, false);
}

static void pause_while_pool_grows(struct flow_fleet *fleet)
{
	flow_fleet_pause(fleet, 2, true);
	flow_fleet_run(fleet, 10000);
	grow_pool(fleet);
	flow_fleet_run(fleet, 20000);
	flow_fleet_pause(fleet, 2, false);
}

static void partition_zone(struct flow_fleet *fleet)
{
	flow_fleet_cut_zone(fleet, 1, true);
	flow_fleet_run(fleet, 20000);
	flow_fleet_cut_zone(fleet, 1, false);
}

static void partition_zone_while_pool_grows(struct flow_fleet *fleet)
{
	flow_fleet_cut_zone(fleet, 1, true);
	flow_fleet_run(fleet, 5000);
	grow_pool(fleet);
	flow_fleet_run(fleet, 15000);
	flow_fleet_cut_zone(fleet, 1, false);
}

static void set_all_links(struct flow_fleet *fleet, struct driver_link link)
{
	for (uint32_t from = 0; from < INSTANCE_COUNT; from++) {
		for (uint32_t to = 0; to < INSTANCE_COUNT; to++)
			*driver_link(flow_fleet_driver(fleet), from, to) = link;
	}
}

static void change_pool_and_nodes(struct flow_fleet *fleet)
{
	shrink_pool(fleet);
	flow_fleet_join(fleet, NODE_COUNT);
	flow_fleet_run(fleet, 1000);
	flow_fleet_leave(fleet, 2);
}

static void lose_messages(struct flow_fleet *fleet)
{
	set_all_links(fleet,
		      (struct driver_link){.delay_ms = 1, .loss_ppm = 200000});
	change_pool_and_nodes(fleet);
}

static void duplicate_messages(struct flow_fleet *fleet)
{
	set_all_links(fleet, (struct driver_link){.delay_ms = 1,
						  .duplicate_ppm = 300000});
	change_pool_and_nodes(fleet);
}

static void reorder_messages(struct flow_fleet *fleet)
{
	set_all_links(fleet,
		      (struct driver_link){.delay_ms = 1, .jitter_ms = 900});
	change_pool_and_nodes(fleet);
}

static void delay_views(struct flow_fleet *fleet)
{
	flow_fleet_set_update_delay(fleet, 8000);
	flow_fleet_join(fleet, NODE_COUNT);
	flow_fleet_leave(fleet, 2);
}

static void delay_generations(struct flow_fleet *fleet)
{
	flow_fleet_set_update_delay(fleet, 30000);
	grow_pool(fleet);
	flow_fleet_run(fleet, 5000);
	shrink_pool(fleet);
}

static void delay_views_and_generations(struct flow_fleet *fleet)
{
	flow_fleet_set_update_delay(fleet, 8000);
	grow_pool(fleet);
	flow_fleet_leave(fleet, 2);
	flow_fleet_run(fleet, 2000);
	flow_fleet_join(fleet, NODE_COUNT);
}

/* A target fails, is removed from its pool, and its address is reused. */
static void reuse_address(struct flow_fleet *fleet)
{
	flow_fleet_set_target_state(fleet, 3, TARGET_FAILING);
	flow_fleet_run(fleet, 5000);
	flow_fleet_remove_target(fleet, 3);
	flow_fleet_publish_rules(fleet);
	flow_fleet_run(fleet, 5000);
	flow_fleet_move_target(fleet, 3);
	flow_fleet_publish_rules(fleet);
}

static void reuse_address_and_leave(struct flow_fleet *fleet)
{
	reuse_address(fleet);
	flow_fleet_leave(fleet, 2);
	flow_fleet_join(fleet, NODE_COUNT);
}

/* The nodes get a target state from the store up to a minute late. */
static void delay_target_state(struct flow_fleet *fleet)
{
	flow_fleet_set_update_delay(fleet, 60000);
	flow_fleet_set_target_state(fleet, 3, TARGET_LEAVING);
	flow_fleet_set_update_delay(fleet, 2000);
	flow_fleet_run(fleet, 10000);
	flow_fleet_leave(fleet, 2);
	flow_fleet_run(fleet, 20000);
}

static void fail_and_recover_target(struct flow_fleet *fleet)
{
	flow_fleet_set_target_state(fleet, 3, TARGET_FAILING);
	flow_fleet_run(fleet, 10000);
	flow_fleet_set_target_state(fleet, 3, TARGET_SERVING);
	flow_fleet_leave(fleet, 2);
}

static void fail_all_targets(struct flow_fleet *fleet)
{
	for (uint32_t i = 0; i < 15; i++)
		flow_fleet_set_target_state(fleet, i, TARGET_FAILING);
}

/*
 * A fault, and the maximum number of flows that may break: none if all nodes
 * survive, else at most the flows whose homes died. Partitioned zones and
 * reused addresses have no limit.
 */
static const struct {
	const char *name;
	void (*apply)(struct flow_fleet *fleet);
	uint32_t broken_max;
	bool is_duplicating;
} rows[] = {
	{"node-dies", kill_node, BROKEN_ONE_HOME, false},
	{"two-nodes-die", kill_two_nodes, 2 * BROKEN_ONE_HOME, false},
	{"node-dies-while-pool-grows", kill_while_pool_grows, BROKEN_ONE_HOME,
	 false},
	{"node-dies-while-another-leaves", kill_while_another_leaves,
	 2 * BROKEN_ONE_HOME, false},
	{"node-dies-while-leaving", kill_while_leaving, BROKEN_ONE_HOME, false},
	{"node-dies-while-joining", kill_while_joining, BROKEN_NONE, false},
	{"node-paused-30s", pause_and_resume, BROKEN_ONE_HOME, false},
	{"node-paused-while-pool-grows", pause_while_pool_grows,
	 BROKEN_ONE_HOME, false},
	{"zone-cut", partition_zone, BROKEN_ANY, false},
	{"zone-cut-while-pool-grows", partition_zone_while_pool_grows,
	 BROKEN_ANY, false},
	{"messages-lost", lose_messages, BROKEN_NONE, false},
	{"messages-doubled", duplicate_messages, BROKEN_NONE, false},
	{"messages-reordered", reorder_messages, BROKEN_NONE, false},
	{"views-differ", delay_views, BROKEN_NONE, false},
	{"generations-differ", delay_generations, BROKEN_NONE, false},
	{"views-and-generations-differ", delay_views_and_generations,
	 BROKEN_NONE, false},
	{"address-reused", reuse_address, BROKEN_ANY, false},
	{"address-reused-and-node-leaves", reuse_address_and_leave, BROKEN_ANY,
	 false},
	{"entries-a-minute-late", delay_target_state, BROKEN_NONE, false},
	{"target-fails-and-recovers", fail_and_recover_target, BROKEN_NONE,
	 false},
	{"targets-all-fail", fail_all_targets, BROKEN_NONE, false},
	{"packets-doubled", change_pool_and_nodes, BROKEN_NONE, true},
};

static struct flow_fleet *make_fleet(bool is_duplicating)
{
	struct flow_fleet_options options = {
		.node_count = NODE_COUNT,
		.spare_count = SPARE_COUNT,
		.zone_count = 4,
		.target_count = 15,
		.long_flow_count = LONG_FLOW_COUNT,
		.new_flows_per_s = NEW_FLOWS_PER_S,
		.control_bytes_per_s = CONTROL_BYTES_PER_S,
		.update_delay_max_ms = 2000,
		.seed = 3,
		.link = {.delay_ms = 1, .jitter_ms = 2},
		.is_duplicating = is_duplicating,
	};

	return flow_fleet_new(&options);
}

START_TEST(test_fault)
{
	struct flow_fleet *fleet = make_fleet(rows[_i].is_duplicating);
	const char *name = rows[_i].name;
	struct flow_fleet_counts before;
	struct flow_fleet_counts counts;

	test_row("flow_fault", name);
	flow_fleet_run(fleet, WARM_UP_MS);
	rows[_i].apply(fleet);
	flow_fleet_run(fleet, SETTLE_MS);
	before = flow_fleet_counts(fleet);
	flow_fleet_run(fleet, WARM_UP_MS);
	counts = flow_fleet_counts(fleet);
	printf("fault %s: broken=%" PRIu64 " moved=%" PRIu64 " dropped=%" PRIu64
	       " opened=%" PRIu64 " control=%.0fB/s\n",
	       name, counts.broken_count, counts.moved_count, counts.drop_count,
	       counts.opened_count, flow_fleet_peak_control_bytes_per_s(fleet));
	ck_assert_msg(counts.wrong_service_count == 0, "%s: wrong service",
		      name);
	ck_assert_msg(counts.diverged_copy_count == 0, "%s: copies disagree",
		      name);
	ck_assert_msg(counts.broken_count <= rows[_i].broken_max,
		      "%s: %" PRIu64 " broken", name, counts.broken_count);
	/* After recovery new flows open and none is refused. */
	ck_assert_msg(counts.opened_count > before.opened_count, "%s", name);
	ck_assert_msg(counts.refused_count == before.refused_count,
		      "%s: still refuses flows", name);
	flow_fleet_free(fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow_fault");
	TCase *tcase = tcase_create("faults");

	tcase_set_timeout(tcase, 300);
	tcase_add_loop_test(tcase, test_fault, 0,
			    sizeof(rows) / sizeof(rows[0]));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
