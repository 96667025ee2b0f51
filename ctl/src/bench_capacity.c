#include <ctl/bench.h>

#include "capacity_measures.h"
#include "capacity_slope.h"

#include <glib.h>

/*
 * The design size: two regions of five zones, 18 million open flows and 60,000
 * new flows per second, spread evenly over 710 nodes.
 */
#define REGION_COUNT 2
#define REGION_NODES 355
#define NODE_FLOWS (18000000 / 710)
#define NODE_NEW_FLOWS_PER_S (60000.0 / 710)
#define RULE_COUNT 470
#define RULE_COPIES 4
#define CHANGES_A_DAY 3200.0
#define S_A_DAY 86400.0
#define NODE_CLAIMS 100000
#define FLOW_COPIES 2

#define CONTROL_BYTES_BOUND 14000
#define MEMORY_BOUND_MB 64
#define PROCESSOR_BOUND_PERCENT 1.3
#define STORE_READS_BOUND 200
#define STORE_WRITES_BOUND 30
#define NS_PER_S 1e9
#define BYTES_PER_MB 1e6

enum slope_place {
	SLOPE_FLOW_STATE,
	SLOPE_CLAIMS,
	SLOPE_VIEW,
	SLOPE_RULES,
	SLOPE_RULES_PARSE,
	SLOPE_MEMBERS,
	SLOPE_FLOWS,
	SLOPE_STORE_READS,
	SLOPE_STORE_WRITES,
	SLOPE_CONFIG_MESSAGES,
	SLOPE_COUNT,
};

static const struct capacity_slope slopes[SLOPE_COUNT] = {
	[SLOPE_FLOW_STATE] = {"flow_home_state",
			      "bytes",
			      capacity_flow_state_bytes,
			      {25000, 50000, 100000, 200000},
			      NODE_FLOWS},
	[SLOPE_CLAIMS] = {"claims_state",
			  "bytes",
			  capacity_claims_bytes,
			  {25000, 50000, 75000, 100000},
			  NODE_CLAIMS},
	[SLOPE_VIEW] = {"view_state",
			"bytes",
			capacity_view_bytes,
			{8, 32, 128, 355},
			REGION_NODES},
	[SLOPE_RULES] = {"rules_state",
			 "bytes",
			 capacity_rules_bytes,
			 {100, 200, 300, 470},
			 RULE_COUNT},
	[SLOPE_RULES_PARSE] = {"rules_read",
			       "ns",
			       capacity_rules_parse_ns,
			       {100, 200, 300, 470},
			       RULE_COUNT},
	[SLOPE_MEMBERS] = {"member_bytes",
			   "B/s a node",
			   capacity_member_bytes_per_s,
			   {8, 16, 32, 64},
			   REGION_NODES},
	[SLOPE_FLOWS] = {"flow_bytes",
			 "B/s a node",
			 capacity_flow_bytes_per_s,
			 {8, 16, 24, 32},
			 REGION_NODES},
	[SLOPE_STORE_READS] = {"store_reads",
			       "1/s a region",
			       capacity_store_reads_per_s,
			       {16, 32, 64, 128},
			       REGION_NODES},
	[SLOPE_STORE_WRITES] = {"store_writes",
				"1/s a region",
				capacity_store_writes_per_s,
				{16, 32, 64, 128},
				REGION_NODES},
	[SLOPE_CONFIG_MESSAGES] = {"config_messages",
				   "1/s a node",
				   capacity_config_messages_per_s,
				   {16, 32, 64, 128},
				   REGION_NODES},
};

static void at_most(struct bench_report *report, const char *name, double value,
		    const char *unit, double bound)
{
	bench_report_figure(report, name, value, unit, BOUND_AT_MOST, bound);
}

/*
 * A flow may be stored twice, at its home and at its mirror. Each of the
 * RULE_COPIES tasks has its own copy of the rules and of the node view.
 */
static double memory_mb(const double *carried)
{
	return (carried[SLOPE_FLOW_STATE] * FLOW_COPIES +
		carried[SLOPE_CLAIMS] + carried[SLOPE_VIEW] * RULE_COPIES +
		carried[SLOPE_RULES] * RULE_COPIES) /
	       BYTES_PER_MB;
}

static void report_roles(struct bench_report *report, const double *carried)
{
	at_most(report, "role.flow_home_and_mirror.memory",
		carried[SLOPE_FLOW_STATE] * FLOW_COPIES / BYTES_PER_MB, "MB",
		MEMORY_BOUND_MB);
	at_most(report, "role.flow_home_and_mirror.control",
		carried[SLOPE_FLOWS], "B/s", CONTROL_BYTES_BOUND);
	at_most(report, "role.claim_holder.memory",
		carried[SLOPE_CLAIMS] / BYTES_PER_MB, "MB", MEMORY_BOUND_MB);
	at_most(report, "role.member.control", carried[SLOPE_MEMBERS], "B/s",
		CONTROL_BYTES_BOUND);
	at_most(report, "role.store_reader.reads_both_regions",
		carried[SLOPE_STORE_READS] * REGION_COUNT, "1/s",
		STORE_READS_BOUND);
	at_most(report, "role.publisher.writes_both_regions",
		carried[SLOPE_STORE_WRITES] * REGION_COUNT, "1/s",
		STORE_WRITES_BOUND);
	at_most(report, "role.rules.processor",
		100 * carried[SLOPE_RULES_PARSE] * CHANGES_A_DAY / S_A_DAY /
			NS_PER_S,
		"% of a core", PROCESSOR_BOUND_PERCENT);
	at_most(report, "node.state_memory", memory_mb(carried), "MB",
		MEMORY_BOUND_MB);
	at_most(report, "node.member_and_flow_control",
		carried[SLOPE_MEMBERS] + carried[SLOPE_FLOWS], "B/s",
		CONTROL_BYTES_BOUND);
}

/* Reports every series, then the cost of each role at the design size. */
static void run(struct bench_report *report)
{
	double carried[SLOPE_COUNT];

	for (uint32_t i = 0; i < SLOPE_COUNT; i++)
		carried[i] = capacity_slope_report(&slopes[i], report);
	bench_report_figure(report, "node.flows",
			    slopes[SLOPE_FLOW_STATE].target_size, "flows",
			    BOUND_NONE, 0);
	bench_report_figure(report, "node.new_flows", NODE_NEW_FLOWS_PER_S,
			    "1/s", BOUND_NONE, 0);
	report_roles(report, carried);
}

const struct bench bench_capacity = {
	"capacity", "cost of each role, extrapolated to the design size", run};
