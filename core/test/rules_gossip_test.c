#include <core/node_feature.h>
#include <fakes/config_fleet.h>
#include <fakes/test_main.h>
#include <string.h>

#define NODE_COUNT 8
/* Few zones, so that some nodes are not watchers. */
#define ZONE_COUNT 2
#define PROPAGATION_WAIT_MS 4000
#define STORE_OUTAGE_MS 3600000
#define LINE(service, host, comment)                                           \
	service " address=10.0.0." host ":80 pool=10.1.0.1:8080 # " comment "\n"
#define LINE_2(service, host, comment)                                         \
	service " v=2 address=10.0.0." host                                    \
		":80 pool=10.1.0.1:8080~2 # " comment "\n"

enum action {
	ACTION_NONE,
	ACTION_SAVE,
	ACTION_RUN,
	ACTION_STORE_DOWN,
	ACTION_STORE_UP,
	ACTION_STALL_WATCHES,
	ACTION_SNAPSHOT_STORE,
	ACTION_RESTORE_STORE,
	ACTION_CUT_PEERS,
	ACTION_CUT_STORE,
	ACTION_CUT_WATCHERS,
	ACTION_RECONNECT_PEERS,
	ACTION_RECONNECT_STORE,
	ACTION_PAUSE,
	ACTION_RESUME,
	ACTION_RESTART,
	ACTION_UPGRADE,
	ACTION_DOWNGRADE,
	ACTION_EXPECT_CONVERGED,
	ACTION_EXPECT_CONFIG_KNOWN,
	ACTION_EXPECT_CONFIG_UNKNOWN,
	ACTION_EXPECT_HELD_COUNT,
	ACTION_EXPECT_INCARNATION,
	ACTION_EXPECT_COMMENT,
};

/*
 * argument is the duration in milliseconds of ACTION_RUN, the value expected on
 * node 0 by ACTION_EXPECT_HELD_COUNT and ACTION_EXPECT_INCARNATION, and
 * otherwise the index of a node if the action concerns one. text is the rules
 * file of ACTION_SAVE or the rule comment that ACTION_EXPECT_COMMENT expects on
 * all nodes.
 */
struct step {
	enum action action;
	int64_t argument;
	const char *text;
};

static const struct {
	const char *name;
	uint32_t old_node_count;
	struct step steps[16];
} rows[] = {
	{"a-line-reaches-every-node",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_CONVERGED, 0, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"}}},
	{"store-down-for-an-hour-with-an-edit-waiting",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_STORE_DOWN, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "two")},
	  {ACTION_RUN, STORE_OUTAGE_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"},
	  {ACTION_STORE_UP, 0, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "two"}}},
	{"watches-stall-silently",
	 0,
	 {{ACTION_STALL_WATCHES, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"}}},
	{"store-restored-to-an-older-state",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_SNAPSHOT_STORE, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "two")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_RESTORE_STORE, 0, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "two"},
	  {ACTION_EXPECT_CONVERGED, 0, NULL}}},
	{"edit-after-the-store-was-restored",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_SNAPSHOT_STORE, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "two")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_STORE_DOWN, 0, NULL},
	  {ACTION_RESTORE_STORE, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "two") LINE("shop", "2", "new")},
	  {ACTION_STORE_UP, 0, NULL},
	  {ACTION_RUN, 2 * PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_CONVERGED, 0, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "two"}}},
	{"node-cut-off-from-its-peers-reads-for-itself",
	 0,
	 {{ACTION_CUT_PEERS, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, 3 * PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"}}},
	{"node-cut-off-from-the-store-learns-from-peers",
	 0,
	 {{ACTION_CUT_STORE, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"}}},
	{"watchers-cut-off-from-the-store",
	 0,
	 {{ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_CUT_WATCHERS, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, 3 * PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"}}},
	{"node-starts-with-the-store-down",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_STORE_DOWN, 0, NULL},
	  {ACTION_RESTART, 0, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_CONFIG_KNOWN, 0, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"}}},
	{"node-starts-with-store-and-peers-cut-off",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_CUT_PEERS, 0, NULL},
	  {ACTION_CUT_STORE, 0, NULL},
	  {ACTION_RESTART, 0, NULL},
	  {ACTION_RUN, 10 * PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_CONFIG_UNKNOWN, 0, NULL},
	  {ACTION_RECONNECT_PEERS, 0, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_CONFIG_KNOWN, 0, NULL}}},
	{"paused-node-wakes-with-old-news",
	 0,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_PAUSE, 0, NULL},
	  {ACTION_SAVE, 0, LINE("desk", "1", "two")},
	  {ACTION_RUN, 10 * PROPAGATION_WAIT_MS, NULL},
	  {ACTION_RESUME, 0, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_CONVERGED, 0, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "two"}}},
	{"new-form-waits-for-old-nodes",
	 3,
	 {{ACTION_SAVE, 0, LINE("desk", "1", "one")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_SAVE, 0, LINE_2("desk", "1", "two")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_HELD_COUNT, 1, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "one"},
	  {ACTION_UPGRADE, 0, NULL},
	  {ACTION_UPGRADE, 1, NULL},
	  {ACTION_UPGRADE, 2, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_HELD_COUNT, 0, NULL},
	  {ACTION_EXPECT_INCARNATION, 2, NULL},
	  {ACTION_EXPECT_COMMENT, 0, "two"}}},
	{"old-node-joins-after-the-new-form-is-in-force",
	 0,
	 {{ACTION_SAVE, 0, LINE_2("desk", "1", "two")},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_DOWNGRADE, 7, NULL},
	  {ACTION_RUN, PROPAGATION_WAIT_MS, NULL},
	  {ACTION_EXPECT_INCARNATION, 2, NULL}}},
};

static const struct rule *desk_rule(const struct config_fleet *fleet,
				    uint32_t node)
{
	const struct rules_replica *replica =
		rules_gossip_replica(config_fleet_gossip(fleet, node));

	return rule_set_by_id(rules_replica_rules(replica),
			      service_id_from_name("desk"));
}

static void cut_watchers(struct config_fleet *fleet)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (rules_gossip_is_watcher(config_fleet_gossip(fleet, i)))
			config_fleet_cut_store_link(fleet, i, true);
	}
}

static void run_action(struct config_fleet *fleet, const struct step *step)
{
	uint32_t node = (uint32_t)step->argument;

	switch (step->action) {
	case ACTION_SAVE:
		config_fleet_save_rules(fleet, 0, step->text);
		break;
	case ACTION_RUN:
		config_fleet_run(fleet, step->argument);
		break;
	case ACTION_STORE_DOWN:
		config_fleet_set_store_state(fleet, false, false);
		break;
	case ACTION_STORE_UP:
		config_fleet_set_store_state(fleet, true, false);
		break;
	case ACTION_STALL_WATCHES:
		config_fleet_set_store_state(fleet, true, true);
		break;
	case ACTION_SNAPSHOT_STORE:
		config_fleet_snapshot_store(fleet);
		break;
	case ACTION_RESTORE_STORE:
		config_fleet_restore_store(fleet);
		break;
	case ACTION_CUT_PEERS:
	case ACTION_RECONNECT_PEERS:
		config_fleet_cut_peer_links(fleet, node,
					    step->action == ACTION_CUT_PEERS);
		break;
	case ACTION_CUT_STORE:
	case ACTION_RECONNECT_STORE:
		config_fleet_cut_store_link(fleet, node,
					    step->action == ACTION_CUT_STORE);
		break;
	case ACTION_CUT_WATCHERS:
		cut_watchers(fleet);
		break;
	case ACTION_PAUSE:
	case ACTION_RESUME:
		config_fleet_pause(fleet, node, step->action == ACTION_PAUSE);
		break;
	case ACTION_RESTART:
		config_fleet_restart(fleet, node);
		break;
	case ACTION_UPGRADE:
		config_fleet_set_features(fleet, node, NODE_FEATURES);
		config_fleet_restart(fleet, node);
		break;
	case ACTION_DOWNGRADE:
		config_fleet_set_features(fleet, node, 0);
		break;
	default:
		break;
	}
}

static void check_expectation(const struct config_fleet *fleet,
			      const struct step *step, const char *name)
{
	const struct rules_gossip *node = config_fleet_gossip(fleet, 0);
	const struct rules_replica *replica = rules_gossip_replica(node);

	if (step->action == ACTION_EXPECT_CONVERGED)
		ck_assert_msg(config_fleet_is_converged(fleet),
			      "%s: not converged", name);
	if (step->action == ACTION_EXPECT_CONFIG_KNOWN)
		ck_assert_msg(rules_gossip_is_config_known(node),
			      "%s: configuration unknown", name);
	if (step->action == ACTION_EXPECT_CONFIG_UNKNOWN)
		ck_assert_msg(!rules_gossip_is_config_known(node),
			      "%s: configuration known", name);
	if (step->action == ACTION_EXPECT_HELD_COUNT)
		ck_assert_msg(rules_replica_held_line_count(replica) ==
				      (uint32_t)step->argument,
			      "%s: held count", name);
	if (step->action == ACTION_EXPECT_INCARNATION)
		ck_assert_msg(desk_rule(fleet, 0)->targets[0].incarnation ==
				      (uint32_t)step->argument,
			      "%s: incarnation", name);
	for (uint32_t i = 0;
	     step->action == ACTION_EXPECT_COMMENT && i < NODE_COUNT; i++)
		ck_assert_msg(desk_rule(fleet, i) &&
				      strcmp(desk_rule(fleet, i)->comment,
					     step->text) == 0,
			      "%s: node %u: %s", name, i, step->text);
}

START_TEST(test_gossip)
{
	struct config_fleet_options options = {
		.node_count = NODE_COUNT,
		.zone_count = ZONE_COUNT,
		.operator_count = 1,
		.old_node_count = rows[_i].old_node_count,
		.loss_ppm = 50000,
		.seed = 7,
	};
	struct config_fleet *fleet = config_fleet_new(&options);

	test_row("rules_gossip", rows[_i].name);
	for (size_t i = 0; i < G_N_ELEMENTS(rows[_i].steps); i++) {
		run_action(fleet, &rows[_i].steps[i]);
		check_expectation(fleet, &rows[_i].steps[i], rows[_i].name);
	}
	ck_assert_uint_eq(config_fleet_results(fleet).revert_count, 0);
	config_fleet_free(fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rules_gossip");
	TCase *tcase = tcase_create("gossip");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_gossip, 0, G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
