#include <ctl/bench.h>

#include "flood_fleet.h"
#include <stdio.h>

#define SEED 1
#define CHAOS_SEED_FIRST 1
#define CHAOS_SEED_LAST 200
#define FLOOD_START_MS 3000
#define FLOOD_END_MS 11000
/* A small pool needs longer to give enough responses for a p99. */
#define SMALL_POOL_FLOOD_END_MS 27000
#define SMALL_POOL_TARGETS_MAX 4
#define CHAOS_END_MS 10000
#define TEN_TIMES_CAPACITY_MILLI 10000
#define FIFTY_TIMES_CAPACITY_MILLI 50000

/* The fleet sizes of the current customers. */
struct fleet_size {
	const char *name;
	uint32_t node_count;
	uint32_t zone_count;
	uint32_t target_count;
	uint32_t slot_count;
};

static const struct fleet_size sizes[] = {
	{"yushan_15x3", 8, 4, 15, 3},
	{"yushan_4x3", 8, 4, 4, 3},
	{"peachtree_15x2", 7, 3, 15, 2},
	{"peachtree_4x2", 7, 3, 4, 2},
};

/* In thousandths of the pool's capacity: urgent, normal and bulk load. */
static const struct flood_load steady_load = {{200, 200, 100}};
static const struct flood_load load_80_percent = {{400, 400, 0}};

struct flood_case {
	const char *name;
	struct flood_load load;
	bool has_bulk_flood;
	bool has_urgent_flood;
};

static const struct flood_case floods[] = {
	{"bulk_10x", {{200, 200, TEN_TIMES_CAPACITY_MILLI}}, true, false},
	{"bulk_50x", {{200, 200, FIFTY_TIMES_CAPACITY_MILLI}}, true, false},
	{"urgent_10x", {{TEN_TIMES_CAPACITY_MILLI, 200, 100}}, false, true},
	{"urgent_50x", {{FIFTY_TIMES_CAPACITY_MILLI, 200, 100}}, false, true},
	{"both_10x",
	 {{TEN_TIMES_CAPACITY_MILLI, 200, TEN_TIMES_CAPACITY_MILLI}},
	 false,
	 true},
	{"both_50x",
	 {{FIFTY_TIMES_CAPACITY_MILLI, 200, FIFTY_TIMES_CAPACITY_MILLI}},
	 false,
	 true},
};

static struct flood_options default_options(const struct fleet_size *size)
{
	return (struct flood_options){
		.seed = SEED,
		.node_count = size->node_count,
		.zone_count = size->zone_count,
		.target_count = size->target_count,
		.slot_count = size->slot_count,
		.steady_load = steady_load,
		.flood_load = steady_load,
		.flood_start_ms = FLOOD_START_MS,
		.end_ms = size->target_count <= SMALL_POOL_TARGETS_MAX
				  ? SMALL_POOL_FLOOD_END_MS
				  : FLOOD_END_MS,
		.has_planned_events = true,
		.has_false_health = true,
	};
}

static struct flood_stats *run_fleet(const struct flood_options *options)
{
	struct flood_fleet *fleet = flood_fleet_new(options);
	struct flood_stats *stats;

	flood_fleet_run(fleet);
	stats = g_memdup2(flood_fleet_stats(fleet), sizeof(*stats));
	flood_fleet_free(fleet);
	return stats;
}

static void add_result(struct bench_report *report, const char *prefix,
		       const char *name, double value, const char *unit,
		       enum bench_bound bound_kind, double bound)
{
	char text[96];

	snprintf(text, sizeof(text), "%s.%s", prefix, name);
	bench_report_add(report, text, value, unit, bound_kind, bound);
}

static double total_goodput(const struct flood_stats *stats)
{
	uint64_t completed_ms = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		completed_ms += stats->completed_work_ms[i];
	return (double)completed_ms / (double)stats->capacity_work_ms;
}

static double min_caller_share(const struct flood_stats *stats,
			       enum work_class work_class)
{
	uint64_t min_count = UINT64_MAX;

	for (uint32_t i = 0; i < FLOOD_STATS_CALLERS_MAX; i++)
		min_count = MIN(min_count,
				stats->completed_by_caller[work_class][i]);
	return (double)min_count * FLOOD_STATS_CALLERS_MAX /
	       (double)MAX(stats->completed[work_class], 1);
}

/* Compares a class's goodput and p99 in a flood with those of a steady load. */
static void report_retained(struct bench_report *report, const char *prefix,
			    const struct flood_stats *steady,
			    const struct flood_stats *stats,
			    enum work_class work_class, bool has_bounds)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_goodput_kept",
		 work_class_name(work_class));
	add_result(report, prefix, name,
		   100 * flood_stats_goodput(stats, work_class) /
			   flood_stats_goodput(steady, work_class),
		   "%", has_bounds ? BOUND_AT_LEAST : BOUND_NONE, 99);
	snprintf(name, sizeof(name), "%s_p99_ratio",
		 work_class_name(work_class));
	add_result(report, prefix, name,
		   flood_stats_p99_ms(stats, work_class) /
			   flood_stats_p99_ms(steady, work_class),
		   "x", has_bounds ? BOUND_AT_MOST : BOUND_NONE, 1.5);
}

static void report_violations(struct bench_report *report, const char *prefix,
			      const struct flood_stats *stats)
{
	add_result(report, prefix, "doubled_executions",
		   (double)stats->repeated_executions, "", BOUND_AT_MOST, 0);
	add_result(report, prefix, "wrong_not_run",
		   (double)stats->false_not_run, "", BOUND_AT_MOST, 0);
	add_result(report, prefix, "wrong_answers",
		   (double)stats->false_responses, "", BOUND_AT_MOST, 0);
}

static void report_bulk_flood(struct bench_report *report, const char *prefix,
			      const struct flood_stats *steady,
			      const struct flood_stats *stats, bool has_bounds)
{
	report_retained(report, prefix, steady, stats, CLASS_URGENT,
			has_bounds);
	report_retained(report, prefix, steady, stats, CLASS_NORMAL,
			has_bounds);
	add_result(report, prefix, "bulk_share",
		   100 * (double)stats->completed_work_ms[CLASS_BULK] /
			   (double)stats->capacity_work_ms,
		   "%", has_bounds ? BOUND_AT_LEAST : BOUND_NONE, 5);
	add_result(report, prefix, "refused_after_10_ms",
		   (double)stats->late_refusals, "", BOUND_NONE, 0);
}

static void report_urgent_flood(struct bench_report *report, const char *prefix,
				const struct flood_stats *stats,
				bool has_bounds)
{
	add_result(report, prefix, "goodput", 100 * total_goodput(stats), "%",
		   has_bounds ? BOUND_AT_LEAST : BOUND_NONE, 90);
	add_result(report, prefix, "refusal_latest",
		   (double)stats->refusal_max_ms, "ms",
		   has_bounds ? BOUND_AT_MOST : BOUND_NONE, 9);
	add_result(report, prefix, "refused_after_10_ms",
		   (double)stats->late_refusals, "", BOUND_NONE, 0);
	add_result(report, prefix, "least_caller_share",
		   min_caller_share(stats, CLASS_URGENT), "of fair",
		   has_bounds ? BOUND_AT_LEAST : BOUND_NONE, 0.5);
}

static void run_floods(struct bench_report *report,
		       const struct fleet_size *size, enum flood_policy policy,
		       const char *policy_name, size_t flood_count)
{
	struct flood_options options = default_options(size);
	bool has_bounds = policy == FLOOD_POLICY_DIRECTOR;
	struct flood_stats *steady;

	options.policy = policy;
	steady = run_fleet(&options);
	for (size_t i = 0; i < flood_count; i++) {
		struct flood_stats *stats;
		char prefix[64];

		snprintf(prefix, sizeof(prefix), "%s.%s%s", size->name,
			 policy_name, floods[i].name);
		options.flood_load = floods[i].load;
		stats = run_fleet(&options);
		if (floods[i].has_bulk_flood)
			report_bulk_flood(report, prefix, steady, stats,
					  has_bounds);
		if (floods[i].has_urgent_flood)
			report_urgent_flood(report, prefix, stats, has_bounds);
		if (has_bounds)
			report_violations(report, prefix, stats);
		g_free(stats);
	}
	g_free(steady);
}

static void report_imbalance(struct bench_report *report,
			     const struct fleet_size *size)
{
	struct flood_options options = default_options(size);
	struct flood_stats *stats;
	uint64_t max_busy_ms = 0;
	uint64_t total_busy_ms = 0;

	options.flood_load = load_80_percent;
	options.has_planned_events = false;
	options.has_false_health = false;
	stats = run_fleet(&options);
	for (uint32_t i = 0; i < size->target_count; i++) {
		max_busy_ms = MAX(max_busy_ms, stats->target_busy_ms[i]);
		total_busy_ms += stats->target_busy_ms[i];
	}
	add_result(report, size->name, "imbalance_at_80_percent",
		   (double)max_busy_ms * size->target_count /
			   (double)total_busy_ms,
		   "max/mean", BOUND_AT_MOST, 1.3);
	g_free(stats);
}

static void add_stats(struct flood_stats *sum, const struct flood_stats *stats)
{
	sum->repeated_executions += stats->repeated_executions;
	sum->false_not_run += stats->false_not_run;
	sum->false_responses += stats->false_responses;
	sum->caller_retries += stats->caller_retries;
	sum->claims_requested += stats->claims_requested;
	sum->claims_granted += stats->claims_granted;
	sum->claims_taken += stats->claims_taken;
	sum->claims_unknown += stats->claims_unknown;
}

/*
 * Runs with random faults, one for each seed from CHAOS_SEED_FIRST to
 * last_seed. By seed, the urgent load is 30% to 75% of the capacity.
 */
static void run_chaos(struct bench_report *report, enum flood_policy policy,
		      const char *prefix, uint64_t last_seed)
{
	struct flood_stats *sum = g_new0(struct flood_stats, 1);
	bool has_bounds = policy == FLOOD_POLICY_DIRECTOR;

	for (uint64_t seed = CHAOS_SEED_FIRST; seed <= last_seed; seed++) {
		struct flood_options options =
			default_options(&sizes[seed % G_N_ELEMENTS(sizes)]);
		struct flood_stats *stats;

		options.seed = seed;
		options.policy = policy;
		options.has_planned_events = false;
		options.has_chaos = true;
		options.end_ms = CHAOS_END_MS;
		options.flood_start_ms = FLOOD_START_MS;
		options.flood_load.load_milli[CLASS_URGENT] =
			300 + 50 * (seed % 10);
		stats = run_fleet(&options);
		add_stats(sum, stats);
		g_free(stats);
	}
	add_result(report, prefix, "seeds_from_1_to", (double)last_seed, "",
		   BOUND_NONE, 0);
	if (has_bounds)
		report_violations(report, prefix, sum);
	else
		add_result(report, prefix, "doubled_executions",
			   (double)sum->repeated_executions, "", BOUND_NONE, 0);
	add_result(report, prefix, "repeats_sent", (double)sum->caller_retries,
		   "", BOUND_NONE, 0);
	add_result(report, prefix, "claims_granted",
		   (double)sum->claims_granted, "", BOUND_NONE, 0);
	add_result(report, prefix, "claims_taken", (double)sum->claims_taken,
		   "", BOUND_NONE, 0);
	add_result(report, prefix, "claims_unknown",
		   (double)sum->claims_unknown, "", BOUND_NONE, 0);
	g_free(sum);
}

static void run(struct bench_report *report)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		run_floods(report, &sizes[i], FLOOD_POLICY_DIRECTOR, "",
			   G_N_ELEMENTS(floods));
		report_imbalance(report, &sizes[i]);
	}
	run_chaos(report, FLOOD_POLICY_DIRECTOR, "faults", CHAOS_SEED_LAST);
	run_floods(report, &sizes[0], FLOOD_POLICY_NO_CLASSES,
		   "baseline_no_classes.", 1);
	run_floods(report, &sizes[0], FLOOD_POLICY_STATIC_LIMITS,
		   "baseline_static_limits.", 1);
	run_floods(report, &sizes[0], FLOOD_POLICY_RETRY_ALWAYS,
		   "baseline_retry_always.", 1);
	run_chaos(report, FLOOD_POLICY_RETRY_ALWAYS,
		  "baseline_retry_always.faults", 20);
}

const struct bench bench_flood = {
	"flood", "goodput and latency per class in overload, virtual time",
	run};
