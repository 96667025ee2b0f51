#include <fakes/flow_change.h>

#define SETTLE_MS 35000
#define REPLACE_SETTLE_MS 150000
#define FIRST_TARGET_WEIGHT 3
#define DRAINED_TARGET 3
#define LEAVING_NODE 2

static void resize(struct flow_fleet *fleet, uint32_t target_count)
{
	flow_fleet_set_pool(fleet, 0, target_count, FIRST_TARGET_WEIGHT);
	flow_fleet_publish_rules(fleet);
}

static void drain_target(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_set_target_state(fleet, DRAINED_TARGET - nth,
				    TARGET_LEAVING);
}

static void add_target(struct flow_fleet *fleet, uint32_t nth)
{
	resize(fleet, flow_fleet_target_count(fleet) + 1 + nth);
}

static void grow_pool(struct flow_fleet *fleet, uint32_t nth)
{
	uint32_t count = flow_fleet_target_count(fleet);

	resize(fleet, count + count / 4 + nth);
}

static void halve_pool(struct flow_fleet *fleet, uint32_t nth)
{
	resize(fleet, (flow_fleet_target_count(fleet) + 1) / (2 + 2 * nth));
}

static void change_weight(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_set_pool(fleet, 0, flow_fleet_target_count(fleet),
			    FIRST_TARGET_WEIGHT * (2 + nth));
	flow_fleet_publish_rules(fleet);
}

static void edit_rule(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_publish_rules(fleet);
}

static void change_form(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_set_form(fleet, RULE_FORM_LAST);
	flow_fleet_publish_rules(fleet);
}

static void leave(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_leave(fleet, LEAVING_NODE + nth);
}

static void join(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_join(fleet, flow_fleet_next_spare(fleet));
}

static void replace_all_nodes(struct flow_fleet *fleet, uint32_t nth)
{
	flow_fleet_replace_all_nodes(fleet);
}

const struct flow_change flow_changes[] = {
	{"target-drains", SETTLE_MS, drain_target},
	{"target-added", SETTLE_MS, add_target},
	{"pool-grown", SETTLE_MS, grow_pool},
	{"pool-halved", SETTLE_MS, halve_pool},
	{"weight-changed", SETTLE_MS, change_weight},
	{"rule-edited", SETTLE_MS, edit_rule},
	{"form-moved", SETTLE_MS, change_form},
	{"node-leaves", SETTLE_MS, leave},
	{"node-joins", SETTLE_MS, join},
	{"nodes-replaced", REPLACE_SETTLE_MS, replace_all_nodes},
};

const uint32_t flow_change_count =
	sizeof(flow_changes) / sizeof(flow_changes[0]);
