#include <ctl/bench.h>

#include "flood_fleet.h"
#include <stdio.h>

#define SEED 1
#define CHAOS_SEED_FIRST 1
#define CHAOS_SEED_LAST 200
#define FLOOD_START_MS 3000
#define FLOOD_END_MS 11000
/* A small pool needs longer to give enough responses for a p99. */
#define SMALL_FLOOD_END_MS 27000
#define SMALL_TARGET_COUNT 4
#define CHAOS_END_MS 10000
#define TEN_TIMES 10000
#define FIFTY_TIMES 50000

/* The fleet sizes of the current customers. */
struct size {
	const char *name;
	uint32_t node_count;
	uint32_t zone_count;
	uint32_t target_count;
	uint32_t slot_count;
};

static const struct size sizes[] = {
	{"yushan_15x3", 8, 4, 15, 3},
	{"yushan_4x3", 8, 4, 4, 3},
	{"peachtree_15x2", 7, 3, 15, 2},
	{"peachtree_4x2", 7, 3, 4, 2},
};

/* In thousandths of the pool's capacity: urgent, normal, bulk. */
static const struct flood_load calm = {{200, 200, 100}};
static const struct flood_load eighty = {{400, 400, 0}};

struct flood_row {
	const char *name;
	struct flood_load load;
	bool has_bulk_flood;
	bool has_urgent_flood;
};

static const struct flood_row floods[] = {
	{"bulk_10x", {{200, 200, TEN_TIMES}}, true, false},
	{"bulk_50x", {{200, 200, FIFTY_TIMES}}, true, false},
	{"urgent_10x", {{TEN_TIMES, 200, 100}}, false, true},
	{"urgent_50x", {{FIFTY_TIMES, 200, 100}}, false, true},
	{"both_10x", {{TEN_TIMES, 200, TEN_TIMES}}, false, true},
	{"both_50x", {{FIFTY_TIMES, 200, FIFTY_TIMES}}, false, true},
};

static struct flood_options options_of(const struct size *size)
{
	return (struct flood_options){
		.seed = SEED,
		.node_count = size->node_count,
		.zone_count = size->zone_count,
		.target_count = size->target_count,
		.slot_count = size->slot_count,
		.calm = calm,
		.flood = calm,
		.flood_start_ms = FLOOD_START_MS,
		.end_ms = size->target_count <= SMALL_TARGET_COUNT
				  ? SMALL_FLOOD_END_MS
				  : FLOOD_END_MS,
		.has_planned_events = true,
		.has_liars = true,
	};
}

static struct flood_tally *run_fleet(const struct flood_options *options)
{
	struct flood_fleet *fleet = flood_fleet_new(options);
	struct flood_tally *tally;

	flood_fleet_run(fleet);
	tally = g_memdup2(flood_fleet_tally(fleet), sizeof(*tally));
	flood_fleet_free(fleet);
	return tally;
}

static void figure(struct bench_report *report, const char *row,
		   const char *name, double value, const char *unit,
		   enum bench_bound side, double bound)
{
	char text[96];

	snprintf(text, sizeof(text), "%s.%s", row, name);
	bench_report_figure(report, text, value, unit, side, bound);
}

static double goodput_share(const struct flood_tally *tally)
{
	uint64_t done_ms = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		done_ms += tally->answered_work_ms[i];
	return (double)done_ms / (double)tally->capacity_work_ms;
}

static double least_caller_share(const struct flood_tally *tally,
				 enum work_class work_class)
{
	uint64_t least = UINT64_MAX;

	for (uint32_t i = 0; i < FLOOD_TALLY_CALLERS; i++)
		least = MIN(least, tally->caller_answered[work_class][i]);
	return (double)least * FLOOD_TALLY_CALLERS /
	       (double)MAX(tally->answered[work_class], 1);
}

/* Compares a class's goodput and p99 in a flood with those without one. */
static void report_kept(struct bench_report *report, const char *row,
			const struct flood_tally *quiet,
			const struct flood_tally *tally,
			enum work_class work_class, bool is_bound)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_goodput_kept",
		 work_class_name(work_class));
	figure(report, row, name,
	       100 * flood_tally_goodput(tally, work_class) /
		       flood_tally_goodput(quiet, work_class),
	       "%", is_bound ? BOUND_AT_LEAST : BOUND_NONE, 99);
	snprintf(name, sizeof(name), "%s_p99_ratio",
		 work_class_name(work_class));
	figure(report, row, name,
	       flood_tally_p99_ms(tally, work_class) /
		       flood_tally_p99_ms(quiet, work_class),
	       "x", is_bound ? BOUND_AT_MOST : BOUND_NONE, 1.5);
}

static void report_honesty(struct bench_report *report, const char *row,
			   const struct flood_tally *tally)
{
	figure(report, row, "doubled_executions", (double)tally->doubled, "",
	       BOUND_AT_MOST, 0);
	figure(report, row, "wrong_not_run", (double)tally->wrong_not_run, "",
	       BOUND_AT_MOST, 0);
	figure(report, row, "wrong_answers", (double)tally->wrong_answers, "",
	       BOUND_AT_MOST, 0);
}

static void report_bulk_flood(struct bench_report *report, const char *row,
			      const struct flood_tally *quiet,
			      const struct flood_tally *tally, bool is_bound)
{
	report_kept(report, row, quiet, tally, CLASS_URGENT, is_bound);
	report_kept(report, row, quiet, tally, CLASS_NORMAL, is_bound);
	figure(report, row, "bulk_share",
	       100 * (double)tally->answered_work_ms[CLASS_BULK] /
		       (double)tally->capacity_work_ms,
	       "%", is_bound ? BOUND_AT_LEAST : BOUND_NONE, 5);
	figure(report, row, "refused_after_10_ms", (double)tally->refused_late,
	       "", BOUND_NONE, 0);
}

static void report_urgent_flood(struct bench_report *report, const char *row,
				const struct flood_tally *tally, bool is_bound)
{
	figure(report, row, "goodput", 100 * goodput_share(tally), "%",
	       is_bound ? BOUND_AT_LEAST : BOUND_NONE, 90);
	figure(report, row, "refusal_latest", (double)tally->refusal_latest_ms,
	       "ms", is_bound ? BOUND_AT_MOST : BOUND_NONE, 9);
	figure(report, row, "refused_after_10_ms", (double)tally->refused_late,
	       "", BOUND_NONE, 0);
	figure(report, row, "least_caller_share",
	       least_caller_share(tally, CLASS_URGENT), "of fair",
	       is_bound ? BOUND_AT_LEAST : BOUND_NONE, 0.5);
}

static void run_floods(struct bench_report *report, const struct size *size,
		       enum flood_policy policy, const char *policy_name,
		       size_t flood_count)
{
	struct flood_options options = options_of(size);
	bool is_bound = policy == FLOOD_POLICY_DIRECTOR;
	struct flood_tally *quiet;

	options.policy = policy;
	quiet = run_fleet(&options);
	for (size_t i = 0; i < flood_count; i++) {
		struct flood_tally *tally;
		char row[64];

		snprintf(row, sizeof(row), "%s.%s%s", size->name, policy_name,
			 floods[i].name);
		options.flood = floods[i].load;
		tally = run_fleet(&options);
		if (floods[i].has_bulk_flood)
			report_bulk_flood(report, row, quiet, tally, is_bound);
		if (floods[i].has_urgent_flood)
			report_urgent_flood(report, row, tally, is_bound);
		if (is_bound)
			report_honesty(report, row, tally);
		g_free(tally);
	}
	g_free(quiet);
}

static void report_imbalance(struct bench_report *report,
			     const struct size *size)
{
	struct flood_options options = options_of(size);
	struct flood_tally *tally;
	uint64_t most_ms = 0;
	uint64_t sum_ms = 0;

	options.flood = eighty;
	options.has_planned_events = false;
	options.has_liars = false;
	tally = run_fleet(&options);
	for (uint32_t i = 0; i < size->target_count; i++) {
		most_ms = MAX(most_ms, tally->target_busy_ms[i]);
		sum_ms += tally->target_busy_ms[i];
	}
	figure(report, size->name, "imbalance_at_80_percent",
	       (double)most_ms * size->target_count / (double)sum_ms,
	       "max/mean", BOUND_AT_MOST, 1.3);
	g_free(tally);
}

static void add_tally(struct flood_tally *sum, const struct flood_tally *tally)
{
	sum->doubled += tally->doubled;
	sum->wrong_not_run += tally->wrong_not_run;
	sum->wrong_answers += tally->wrong_answers;
	sum->repeats_sent += tally->repeats_sent;
	sum->claims_asked += tally->claims_asked;
	sum->claims_granted += tally->claims_granted;
	sum->claims_taken += tally->claims_taken;
	sum->claims_unknown += tally->claims_unknown;
}

/* Runs with random faults, one for each seed up to last_seed. */
static void run_chaos(struct bench_report *report, enum flood_policy policy,
		      const char *row, uint64_t last_seed)
{
	struct flood_tally *sum = g_new0(struct flood_tally, 1);
	bool is_bound = policy == FLOOD_POLICY_DIRECTOR;

	for (uint64_t seed = CHAOS_SEED_FIRST; seed <= last_seed; seed++) {
		struct flood_options options =
			options_of(&sizes[seed % G_N_ELEMENTS(sizes)]);
		struct flood_tally *tally;

		options.seed = seed;
		options.policy = policy;
		options.has_planned_events = false;
		options.has_chaos = true;
		options.end_ms = CHAOS_END_MS;
		options.flood_start_ms = FLOOD_START_MS;
		options.flood.milli[CLASS_URGENT] = 300 + 50 * (seed % 10);
		tally = run_fleet(&options);
		add_tally(sum, tally);
		g_free(tally);
	}
	figure(report, row, "seeds_from_1_to", (double)last_seed, "",
	       BOUND_NONE, 0);
	if (is_bound)
		report_honesty(report, row, sum);
	else
		figure(report, row, "doubled_executions", (double)sum->doubled,
		       "", BOUND_NONE, 0);
	figure(report, row, "repeats_sent", (double)sum->repeats_sent, "",
	       BOUND_NONE, 0);
	figure(report, row, "claims_granted", (double)sum->claims_granted, "",
	       BOUND_NONE, 0);
	figure(report, row, "claims_taken", (double)sum->claims_taken, "",
	       BOUND_NONE, 0);
	figure(report, row, "claims_unknown", (double)sum->claims_unknown, "",
	       BOUND_NONE, 0);
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
	"flood", "goodput and latency per class in overload, virtual time", run};
