#include <ctl/bench.h>

#include "capacity_measures.h"
#include "capacity_series.h"

#include <glib.h>

/*
 * The design size: two regions of five zones, 18 million open flows and 60,000
 * new flows per second, spread evenly over 710 nodes.
 */
#define REGION_COUNT 2
#define NODES_PER_REGION 355
#define FLOWS_PER_NODE (18000000 / 710)
#define NEW_FLOWS_PER_S_PER_NODE (60000.0 / 710)
#define RULE_COUNT 470
#define RULE_COPY_COUNT 4
#define CHANGES_PER_DAY 3200.0
#define S_PER_DAY 86400.0
#define CLAIMS_PER_NODE 100000
#define FLOW_COPY_COUNT 2

#define CONTROL_BOUND_BYTES_PER_S 14000
#define MEMORY_BOUND_MB 64
#define PROCESSOR_BOUND_PERCENT 1.3
#define STORE_READS_PER_S_BOUND 200
#define STORE_WRITES_PER_S_BOUND 30
#define NS_PER_S 1e9
#define BYTES_PER_MB 1e6

enum series_index {
	SERIES_FLOW_STATE,
	SERIES_CLAIMS,
	SERIES_VIEW,
	SERIES_RULES,
	SERIES_RULES_PARSE,
	SERIES_MEMBERS,
	SERIES_FLOWS,
	SERIES_STORE_READS,
	SERIES_STORE_WRITES,
	SERIES_CONFIG_MESSAGES,
	SERIES_COUNT,
};

static const struct capacity_series all_series[SERIES_COUNT] = {
	[SERIES_FLOW_STATE] = {"flow_home_state",
			       "bytes",
			       capacity_flow_state_bytes,
			       {25000, 50000, 100000, 200000},
			       FLOWS_PER_NODE},
	[SERIES_CLAIMS] = {"claims_state",
			   "bytes",
			   capacity_claims_bytes,
			   {25000, 50000, 75000, 100000},
			   CLAIMS_PER_NODE},
	[SERIES_VIEW] = {"view_state",
			 "bytes",
			 capacity_view_bytes,
			 {8, 32, 128, 355},
			 NODES_PER_REGION},
	[SERIES_RULES] = {"rules_state",
			  "bytes",
			  capacity_rules_bytes,
			  {100, 200, 300, 470},
			  RULE_COUNT},
	[SERIES_RULES_PARSE] = {"rules_read",
				"ns",
				capacity_rules_parse_ns,
				{100, 200, 300, 470},
				RULE_COUNT},
	[SERIES_MEMBERS] = {"member_bytes",
			    "B/s a node",
			    capacity_member_bytes_per_s,
			    {8, 16, 32, 64},
			    NODES_PER_REGION},
	[SERIES_FLOWS] = {"flow_bytes",
			  "B/s a node",
			  capacity_flow_bytes_per_s,
			  {8, 16, 24, 32},
			  NODES_PER_REGION},
	[SERIES_STORE_READS] = {"store_reads",
				"1/s a region",
				capacity_store_reads_per_s,
				{16, 32, 64, 128},
				NODES_PER_REGION},
	[SERIES_STORE_WRITES] = {"store_writes",
				 "1/s a region",
				 capacity_store_writes_per_s,
				 {16, 32, 64, 128},
				 NODES_PER_REGION},
	[SERIES_CONFIG_MESSAGES] = {"config_messages",
				    "1/s a node",
				    capacity_config_messages_per_s,
				    {16, 32, 64, 128},
				    NODES_PER_REGION},
};

static void add_at_most(struct bench_report *report, const char *name,
			double value, const char *unit, double bound)
{
	bench_report_add(report, name, value, unit, BOUND_AT_MOST, bound);
}

/*
 * A flow may be stored twice, at its home and at its mirror. Each of the
 * RULE_COPY_COUNT tasks has its own copy of the rules and of the node view.
 */
static double memory_mb(const double *design_values)
{
	return (design_values[SERIES_FLOW_STATE] * FLOW_COPY_COUNT +
		design_values[SERIES_CLAIMS] +
		design_values[SERIES_VIEW] * RULE_COPY_COUNT +
		design_values[SERIES_RULES] * RULE_COPY_COUNT) /
	       BYTES_PER_MB;
}

static void report_roles(struct bench_report *report,
			 const double *design_values)
{
	add_at_most(report, "role.flow_home_and_mirror.memory",
		    design_values[SERIES_FLOW_STATE] * FLOW_COPY_COUNT /
			    BYTES_PER_MB,
		    "MB", MEMORY_BOUND_MB);
	add_at_most(report, "role.flow_home_and_mirror.control",
		    design_values[SERIES_FLOWS], "B/s",
		    CONTROL_BOUND_BYTES_PER_S);
	add_at_most(report, "role.claim_holder.memory",
		    design_values[SERIES_CLAIMS] / BYTES_PER_MB, "MB",
		    MEMORY_BOUND_MB);
	add_at_most(report, "role.member.control",
		    design_values[SERIES_MEMBERS], "B/s",
		    CONTROL_BOUND_BYTES_PER_S);
	add_at_most(report, "role.store_reader.reads_both_regions",
		    design_values[SERIES_STORE_READS] * REGION_COUNT, "1/s",
		    STORE_READS_PER_S_BOUND);
	add_at_most(report, "role.publisher.writes_both_regions",
		    design_values[SERIES_STORE_WRITES] * REGION_COUNT, "1/s",
		    STORE_WRITES_PER_S_BOUND);
	add_at_most(report, "role.rules.processor",
		    100 * design_values[SERIES_RULES_PARSE] * CHANGES_PER_DAY /
			    S_PER_DAY / NS_PER_S,
		    "% of a core", PROCESSOR_BOUND_PERCENT);
	add_at_most(report, "node.state_memory", memory_mb(design_values), "MB",
		    MEMORY_BOUND_MB);
	add_at_most(report, "node.member_and_flow_control",
		    design_values[SERIES_MEMBERS] + design_values[SERIES_FLOWS],
		    "B/s", CONTROL_BOUND_BYTES_PER_S);
}

/* Reports every series, then the cost of each role at the design size. */
static void run(struct bench_report *report)
{
	double design_values[SERIES_COUNT];

	for (uint32_t i = 0; i < SERIES_COUNT; i++)
		design_values[i] =
			capacity_series_report(&all_series[i], report);
	bench_report_add(report, "node.flows",
			 all_series[SERIES_FLOW_STATE].design_size, "flows",
			 BOUND_NONE, 0);
	bench_report_add(report, "node.new_flows", NEW_FLOWS_PER_S_PER_NODE,
			 "1/s", BOUND_NONE, 0);
	report_roles(report, design_values);
}

const struct bench bench_capacity = {
	"capacity", "cost of each role, extrapolated to the design size", run};
