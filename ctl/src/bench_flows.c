#include <ctl/bench.h>

#include <ctl/line_fit.h>
#include <fakes/flow_change.h>

#define NODE_COUNT 8
#define SPARE_COUNT 12
#define ZONE_COUNT 4
#define LONG_FLOW_COUNT 100000
#define NEW_FLOWS_PER_S 2000
/* Leaves a quarter of a node's control budget for membership and rules. */
#define FLOW_BYTES_PER_S 3000
#define UPDATE_DELAY_MAX_MS 2000
#define SEED 7
#define WARM_UP_MS 15000
#define CHANGE_INTERVAL_MS 1000
#define AFTER_CHANGE_MS 10000
#define NAME_BYTES 96

#define STEADY_IMBALANCE_MAX 1.10
#define CHANGED_IMBALANCE_MAX 1.25
#define CONTROL_BYTES_PER_S_MAX 4000
#define SCALING_BYTES_PER_S_MAX 14000
#define SCALING_NODE_COUNT 355
#define SCALING_FLOWS_PER_NODE 2500
#define SCALING_NEW_FLOWS_PER_S_PER_NODE 50
#define SCALING_RUN_MS 60000
#define REMOVED_NODE 2

/* Indices into flow_changes. */
#define CHANGE_TARGET_ADDED 1
#define CHANGE_POOL_GROWN 2
/*
 * The changes of a pool come first in flow_changes; only these change which
 * target a flow hashes to.
 */
#define BASELINE_CHANGE_COUNT 5

static const uint32_t target_counts[] = {15, 4};

#define TARGET_CASE_COUNT (sizeof(target_counts) / sizeof(target_counts[0]))

static struct flow_fleet_options base_options(uint32_t target_count)
{
	return (struct flow_fleet_options){
		.node_count = NODE_COUNT,
		.spare_count = SPARE_COUNT,
		.zone_count = ZONE_COUNT,
		.target_count = target_count,
		.long_flow_count = LONG_FLOW_COUNT,
		.new_flows_per_s = NEW_FLOWS_PER_S,
		.control_bytes_per_s = FLOW_BYTES_PER_S,
		.update_delay_max_ms = UPDATE_DELAY_MAX_MS,
		.seed = SEED,
		.link = {.delay_ms = 1, .jitter_ms = 2},
	};
}

static struct flow_fleet *
new_warm_fleet(const struct flow_fleet_options *options)
{
	struct flow_fleet *fleet = flow_fleet_new(options);

	flow_fleet_run(fleet, WARM_UP_MS);
	return fleet;
}

static void add_result(struct bench_report *report, const char *name,
		       uint32_t target_count, const char *metric, double value,
		       const char *unit, enum bench_bound bound_kind,
		       double bound)
{
	char text[NAME_BYTES];

	g_snprintf(text, sizeof(text), "%s.%u.%s", name, target_count, metric);
	bench_report_add(report, text, value, unit, bound_kind, bound);
}

static void report_counts(struct bench_report *report, const char *name,
			  uint32_t target_count, const struct flow_fleet *fleet)
{
	struct flow_fleet_counts counts = flow_fleet_counts(fleet);

	add_result(report, name, target_count, "broken",
		   (double)counts.broken_count, "flows", BOUND_AT_MOST, 0);
	add_result(report, name, target_count, "wrong_service",
		   (double)counts.wrong_service_count, "packets", BOUND_AT_MOST,
		   0);
	add_result(report, name, target_count, "late_to_leaving",
		   (double)counts.placed_on_leaving_count, "flows",
		   BOUND_AT_MOST, 0);
	add_result(report, name, target_count, "dropped_tries",
		   (double)counts.drop_count, "packets", BOUND_NONE, 0);
	add_result(report, name, target_count, "control",
		   flow_fleet_peak_control_bytes_per_s(fleet), "B/s",
		   BOUND_AT_MOST, CONTROL_BYTES_PER_S_MAX);
}

static void run_change(struct bench_report *report,
		       const struct flow_change *change, uint32_t target_count)
{
	struct flow_fleet_options options = base_options(target_count);
	struct flow_fleet *fleet = new_warm_fleet(&options);

	add_result(report, change->name, target_count, "imbalance_steady",
		   flow_fleet_imbalance(fleet), "max/mean", BOUND_AT_MOST,
		   STEADY_IMBALANCE_MAX);
	change->apply(fleet, 0);
	flow_fleet_run(fleet, AFTER_CHANGE_MS);
	add_result(report, change->name, target_count, "imbalance_after_10s",
		   flow_fleet_imbalance(fleet), "max/mean", BOUND_AT_MOST,
		   CHANGED_IMBALANCE_MAX);
	flow_fleet_run(fleet, change->settle_ms);
	report_counts(report, change->name, target_count, fleet);
	flow_fleet_free(fleet);
}

static void run_baseline(struct bench_report *report,
			 const struct flow_change *change,
			 uint32_t target_count)
{
	struct flow_fleet_options options = base_options(target_count);
	struct flow_fleet *fleet;

	options.is_hash_only = true;
	fleet = new_warm_fleet(&options);
	change->apply(fleet, 0);
	flow_fleet_run(fleet, change->settle_ms);
	add_result(report, change->name, target_count, "hash_only_broken",
		   (double)flow_fleet_counts(fleet).broken_count, "flows",
		   BOUND_NONE, 0);
	flow_fleet_free(fleet);
}

/*
 * Kills a node of a steady fleet or, with is_pool_grown, of one whose pool has
 * grown, so that there are many exceptions: flows to another target than their
 * hash selects. With bytes_per_s 0, nothing is mirrored or handed over, which
 * gives the baseline.
 */
static void run_node_death(struct bench_report *report, const char *name,
			   uint32_t bytes_per_s, bool is_pool_grown)
{
	struct flow_fleet_options options = base_options(target_counts[0]);
	struct flow_fleet *fleet;
	uint32_t flow_count;
	uint64_t broken_count;

	options.control_bytes_per_s = bytes_per_s;
	fleet = new_warm_fleet(&options);
	if (is_pool_grown)
		flow_changes[CHANGE_POOL_GROWN].apply(fleet, 0);
	flow_fleet_run(fleet, 2 * AFTER_CHANGE_MS);
	broken_count = flow_fleet_counts(fleet).broken_count;
	flow_count = flow_fleet_flow_count(fleet) / NODE_COUNT;
	flow_fleet_kill(fleet, REMOVED_NODE);
	flow_fleet_run(fleet, flow_changes[0].settle_ms);
	broken_count = flow_fleet_counts(fleet).broken_count - broken_count;
	add_result(report, name, target_counts[0], "broken",
		   (double)broken_count, "flows", BOUND_NONE, 0);
	add_result(report, name, target_counts[0], "broken_share",
		   100.0 * (double)broken_count / flow_count, "% of its flows",
		   BOUND_NONE, 0);
	add_result(report, name, target_counts[0], "wrong_service",
		   (double)flow_fleet_counts(fleet).wrong_service_count,
		   "packets", BOUND_AT_MOST, 0);
	flow_fleet_free(fleet);
}

/*
 * Returns the control bytes per second and node while a target is added, a
 * node joins and another leaves, all within a minute. The load per node is the
 * same for every node count.
 */
static double measure_control_bytes_per_s(uint32_t node_count)
{
	struct flow_fleet_options options = base_options(target_counts[0]);
	struct flow_fleet *fleet;
	uint64_t bytes;
	double rate;

	options.node_count = node_count;
	options.long_flow_count = SCALING_FLOWS_PER_NODE * node_count;
	options.new_flows_per_s = SCALING_NEW_FLOWS_PER_S_PER_NODE * node_count;
	fleet = new_warm_fleet(&options);
	bytes = flow_fleet_control_bytes(fleet);
	flow_changes[CHANGE_TARGET_ADDED].apply(fleet, 0);
	flow_fleet_join(fleet, flow_fleet_next_spare(fleet));
	flow_fleet_leave(fleet, REMOVED_NODE);
	flow_fleet_run(fleet, SCALING_RUN_MS);
	rate = (double)(flow_fleet_control_bytes(fleet) - bytes) / node_count /
	       ((double)SCALING_RUN_MS / 1000);
	flow_fleet_free(fleet);
	return rate;
}

static void run_scaling(struct bench_report *report)
{
	static const uint32_t node_counts[] = {8, 16, 24, 32};
	double nodes[G_N_ELEMENTS(node_counts)];
	double rates[G_N_ELEMENTS(node_counts)];
	struct line_fit fit;
	char text[NAME_BYTES];

	for (uint32_t i = 0; i < G_N_ELEMENTS(node_counts); i++) {
		nodes[i] = node_counts[i];
		rates[i] = measure_control_bytes_per_s(node_counts[i]);
		g_snprintf(text, sizeof(text), "control_at_%u_nodes",
			   node_counts[i]);
		bench_report_add(report, text, rates[i], "B/s a node",
				 BOUND_NONE, 0);
	}
	fit = line_fit_least_squares(nodes, rates, G_N_ELEMENTS(node_counts));
	bench_report_add(report, "control_slope", fit.slope,
			 "B/s a node and node", BOUND_NONE, 0);
	bench_report_add(report, "control_at_355_nodes",
			 line_fit_at(&fit, SCALING_NODE_COUNT), "B/s a node",
			 BOUND_AT_MOST, SCALING_BYTES_PER_S_MAX);
}

static void run(struct bench_report *report)
{
	for (uint32_t i = 0; i < TARGET_CASE_COUNT; i++) {
		for (uint32_t k = 0; k < flow_change_count; k++)
			run_change(report, &flow_changes[k], target_counts[i]);
		for (uint32_t k = 1; k < BASELINE_CHANGE_COUNT; k++)
			run_baseline(report, &flow_changes[k],
				     target_counts[i]);
	}
	run_node_death(report, "node-dies", FLOW_BYTES_PER_S, false);
	run_node_death(report, "node-dies-in-growth", FLOW_BYTES_PER_S, true);
	run_node_death(report, "node-dies-no-mirror", 0, true);
	run_scaling(report);
}

/* Runs every pair of planned changes, CHANGE_INTERVAL_MS apart. */
static void run_pairs(struct bench_report *report)
{
	struct flow_fleet_options options = base_options(target_counts[0]);

	for (uint32_t i = 0; i < flow_change_count * flow_change_count; i++) {
		const struct flow_change *first =
			&flow_changes[i / flow_change_count];
		const struct flow_change *second =
			&flow_changes[i % flow_change_count];
		struct flow_fleet *fleet;
		char name[NAME_BYTES];

		if (second < first)
			continue;
		g_snprintf(name, sizeof(name), "%s+%s", first->name,
			   second->name);
		fleet = new_warm_fleet(&options);
		first->apply(fleet, 0);
		flow_fleet_run(fleet, CHANGE_INTERVAL_MS);
		second->apply(fleet, second == first);
		flow_fleet_run(fleet, MAX(first->settle_ms, second->settle_ms));
		report_counts(report, name, target_counts[0], fleet);
		flow_fleet_free(fleet);
	}
}

const struct bench bench_flows = {
	"flows", "flows broken by changes of nodes, pools and rules", run};

const struct bench bench_flow_pairs = {
	"flow-pairs", "flows broken by two overlapping planned changes",
	run_pairs};
