#include <ctl/bench.h>

#include <core/rules_text.h>
#include <ctl/bench_clock.h>
#include <fakes/config_fleet.h>
#include <string.h>

#define SEED_COUNT 200
#define ZONE_COUNT 4
#define OPERATOR_COUNT 3
#define SERVICE_COUNT 6
#define STEP_COUNT 30
#define STEP_MS 1000
#define SETTLE_MS 20000
#define LOSS_PPM 50000
#define LOST_RESPONSE_PPM 100000
#define OUTAGE_START_PROBABILITY_PPM 50000
#define OUTAGE_END_PROBABILITY_PPM 250000
#define EDIT_PROBABILITY_PPM 400000
#define STALE_EDIT_PROBABILITY_PPM 100000
#define PPM_MAX 1000000
#define PROPAGATION_BOUND_MS 4000
#define CHECK_LINE_COUNT 10000
#define CHECK_TIME_BOUND_MS 100
#define CHECK_REPEAT_COUNT 20
#define MS_PER_NS 1e-6

/*
 * The version of each line in one operator's file, and in a stale copy from
 * before the last edit.
 */
struct edited_file {
	uint32_t versions[SERVICE_COUNT];
	uint32_t stale_versions[SERVICE_COUNT];
};

/* The state of a run with one seed. */
struct config_run {
	struct config_fleet *fleet;
	struct edited_file files[OPERATOR_COUNT];
	uint32_t next_version;
	bool is_store_up;
};

static bool random_chance(struct config_run *run, int32_t probability_ppm)
{
	return g_rand_int_range(driver_rand(config_fleet_driver(run->fleet)), 0,
				PPM_MAX) < probability_ppm;
}

static uint32_t random_below(struct config_run *run, int32_t count)
{
	return (uint32_t)g_rand_int_range(
		driver_rand(config_fleet_driver(run->fleet)), 0, count);
}

static void save_file(struct config_run *run, uint32_t operator_index,
		      const uint32_t *versions)
{
	GString *file = g_string_new(NULL);

	for (uint32_t i = 0; i < SERVICE_COUNT; i++)
		g_string_append_printf(file,
				       "service-%u address=10.0.0.%u:80 "
				       "pool=10.1.0.1:8080 # version %u\n",
				       i, i + 1, versions[i]);
	config_fleet_save_rules(run->fleet, operator_index, file->str);
	g_string_free(file, TRUE);
}

/* An operator edits one line, or saves the stale copy of the file. */
static void edit_file(struct config_run *run, uint32_t operator_index)
{
	struct edited_file *file = &run->files[operator_index];

	if (random_chance(run, STALE_EDIT_PROBABILITY_PPM)) {
		save_file(run, operator_index, file->stale_versions);
		return;
	}
	memcpy(file->stale_versions, file->versions,
	       sizeof(file->stale_versions));
	file->versions[random_below(run, SERVICE_COUNT)] = ++run->next_version;
	save_file(run, operator_index, file->versions);
}

static void run_step(struct config_run *run)
{
	if (random_chance(run, run->is_store_up ? OUTAGE_START_PROBABILITY_PPM
						: OUTAGE_END_PROBABILITY_PPM)) {
		run->is_store_up = !run->is_store_up;
		config_fleet_set_store_state(run->fleet, run->is_store_up,
					     random_chance(run, PPM_MAX / 4));
	}
	for (uint32_t i = 0; i < OPERATOR_COUNT; i++) {
		if (random_chance(run, EDIT_PROBABILITY_PPM))
			edit_file(run, i);
	}
	config_fleet_run(run->fleet, STEP_MS);
}

static void start_run(struct config_run *run, uint32_t node_count,
		      uint64_t seed)
{
	struct config_fleet_options options = {
		.node_count = node_count,
		.zone_count = ZONE_COUNT,
		.operator_count = OPERATOR_COUNT,
		.loss_ppm = LOSS_PPM,
		.lost_response_ppm = LOST_RESPONSE_PPM,
		.seed = seed,
	};

	memset(run, 0, sizeof(*run));
	run->fleet = config_fleet_new(&options);
	run->is_store_up = true;
	for (uint32_t i = 0; i < OPERATOR_COUNT; i++)
		save_file(run, i, run->files[i].versions);
	config_fleet_run(run->fleet, STEP_MS);
}

static void add_counts(struct config_fleet_result *total,
		       const struct config_fleet_result *counts)
{
	total->revert_count += counts->revert_count;
	total->lost_count += counts->lost_count;
	total->accepted_count += counts->accepted_count;
	total->rejected_count += counts->rejected_count;
	total->change_count += counts->change_count;
	total->propagated_count += counts->propagated_count;
	total->store_read_count += counts->store_read_count;
	total->message_count += counts->message_count;
	total->propagation_max_ms =
		MAX(total->propagation_max_ms, counts->propagation_max_ms);
}

static void run_seed(struct config_fleet_result *total, uint32_t node_count,
		     uint64_t seed)
{
	struct config_run run;
	struct config_fleet_result counts;

	start_run(&run, node_count, seed);
	for (uint32_t i = 0; i < STEP_COUNT; i++)
		run_step(&run);
	config_fleet_set_store_state(run.fleet, true, false);
	config_fleet_run(run.fleet, SETTLE_MS);
	counts = config_fleet_results(run.fleet);
	add_counts(total, &counts);
	config_fleet_free(run.fleet);
}

static void report_fleet(struct bench_report *report, uint32_t node_count,
			 const struct config_fleet_result *total)
{
	const struct {
		const char *name;
		double value;
		const char *unit;
		enum bench_bound bound_kind;
		double bound;
	} results[] = {
		{"reverts", (double)total->revert_count, "lines", BOUND_AT_MOST,
		 0},
		{"accepted_lost", (double)total->lost_count, "lines",
		 BOUND_AT_MOST, 0},
		{"in_force_max", (double)total->propagation_max_ms, "ms",
		 BOUND_AT_MOST, PROPAGATION_BOUND_MS},
		{"not_in_force",
		 (double)(total->change_count - total->propagated_count),
		 "changes", BOUND_AT_MOST, 0},
		{"changes", (double)total->change_count, "changes", BOUND_NONE,
		 0},
		{"rejections", (double)total->rejected_count, "lines",
		 BOUND_NONE, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(results); i++) {
		char *name = g_strdup_printf("%s_%u_nodes", results[i].name,
					     node_count);

		bench_report_add(report, name, results[i].value,
				 results[i].unit, results[i].bound_kind,
				 results[i].bound);
		g_free(name);
	}
}

static void measure_fleet(struct bench_report *report, uint32_t node_count)
{
	struct config_fleet_result total = {.revert_count = 0};

	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++)
		run_seed(&total, node_count, seed);
	report_fleet(report, node_count, &total);
}

static GString *make_rules_file(void)
{
	GString *file = g_string_new(NULL);

	for (uint32_t i = 0; i < CHECK_LINE_COUNT; i++)
		g_string_append_printf(
			file,
			"service-%05u address=10.%u.%u.%u:80 protocol=http "
			"class=urgent pool=10.1.0.1:8080*3@north-a,"
			"10.1.0.2:8080*3@north-b # asked by Lin\n",
			i, i >> 16, (i >> 8) & 0xff, i & 0xff);
	return file;
}

/* Reports the fastest round: other load on the machine only adds time. */
static void measure_check(struct bench_report *report)
{
	GString *file = make_rules_file();
	double min_ms = 1e9;
	uint32_t error_count = 0;

	for (uint32_t i = 0; i < CHECK_REPEAT_COUNT; i++) {
		double start_ns = bench_clock_now_ns();
		struct rules_text *text = rules_text_new(file->str, file->len);
		double elapsed_ms =
			(bench_clock_now_ns() - start_ns) * MS_PER_NS;

		error_count += rules_text_error_count(text);
		rules_text_free(text);
		min_ms = MIN(min_ms, elapsed_ms);
	}
	bench_report_add(report, "check_file_size", (double)file->len, "bytes",
			 BOUND_NONE, 0);
	bench_report_add(report, "check_faults", error_count, "lines",
			 BOUND_AT_MOST, 0);
	bench_report_add(report, "check_10000_lines", min_ms, "ms",
			 BOUND_AT_MOST, CHECK_TIME_BOUND_MS);
	g_string_free(file, TRUE);
}

static void run(struct bench_report *report)
{
	measure_check(report);
	measure_fleet(report, 8);
	measure_fleet(report, 355);
}

const struct bench bench_config = {
	"config", "propagation of rules to every node, with faults", run};
