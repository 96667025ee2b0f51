#include <ctl/bench.h>

#include "path_testbed.h"

#include <ctl/load_task.h>

#define SEED 1
#define PATH_ROUND_COUNT 5
#define PATH_ROUND_MS 1000
#define CALLER_COUNT 32
#define RATE_PER_S 1000
#define TIMEOUT_MS 10000
#define OPEN_LIMIT 4000
#define MS_PER_S 1000.0
#define US_PER_MS 1000.0
#define BYTES_PER_MIB 1048576.0
/* 1% of PATH_TESTBED_DOWNLOAD_BYTES. */
#define GROWTH_BOUND_MIB 10.24

static const struct load_class echo_class = {
	.name = "echo",
	.host = PATH_TESTBED_SERVICE,
	.path = "/blocks/7",
	.share = 1,
	.is_repeatable = true,
};

/* The results of one path to the target, over all rounds. */
struct path_stats {
	struct endpoint endpoint;
	uint64_t complete_count;
	uint64_t failed_count;
	double p50_us;
	double p99_us;
};

static struct load_options options_for(const struct path_stats *path_stats)
{
	return (struct load_options){
		.nodes = &path_stats->endpoint,
		.node_count = 1,
		.classes = &echo_class,
		.class_count = 1,
		.duration_ms = PATH_ROUND_MS,
		.timeout_ms = TIMEOUT_MS,
		.open_limit = OPEN_LIMIT,
		.seed = SEED,
		.is_echo_checked = true,
	};
}

static void add_outcomes(struct path_stats *path_stats,
			 const struct load_result *result)
{
	path_stats->complete_count += result->outcome_counts[LOAD_COMPLETE];
	path_stats->failed_count +=
		result->sent_count - result->outcome_counts[LOAD_COMPLETE];
}

/* Runs one round in which CALLER_COUNT callers send without pause. */
static void run_throughput_round(struct path_stats *path_stats)
{
	struct load_options options = options_for(path_stats);
	struct load_task *load;

	options.closed_loop_caller_count = CALLER_COUNT;
	load = load_task_new(&options, NULL);
	load_task_join(load);
	add_outcomes(path_stats, load_task_result(load, 0));
	load_task_free(load);
}

/* Runs one round at a steady rate; percentiles are averaged over the rounds. */
static void run_latency_round(struct path_stats *path_stats)
{
	struct load_options options = options_for(path_stats);
	const struct load_result *result;
	struct load_task *load;

	options.rate_per_s = RATE_PER_S;
	load = load_task_new(&options, NULL);
	load_task_join(load);
	result = load_task_result(load, 0);
	path_stats->failed_count +=
		result->sent_count - result->outcome_counts[LOAD_COMPLETE];
	path_stats->p50_us +=
		(double)latency_histogram_percentile_us(result->latencies, 50) /
		PATH_ROUND_COUNT;
	path_stats->p99_us +=
		(double)latency_histogram_percentile_us(result->latencies, 99) /
		PATH_ROUND_COUNT;
	load_task_free(load);
}

static void report_path(struct bench_report *report, const char *name,
			const struct path_stats *path_stats)
{
	char *throughput = g_strconcat(name, "_throughput", NULL);
	char *p50 = g_strconcat(name, "_p50", NULL);
	char *p99 = g_strconcat(name, "_p99", NULL);

	bench_report_add(report, throughput,
			 (double)path_stats->complete_count * MS_PER_S /
				 (PATH_ROUND_COUNT * PATH_ROUND_MS),
			 "requests/s", BOUND_NONE, 0);
	bench_report_add(report, p50, path_stats->p50_us / US_PER_MS, "ms",
			 BOUND_NONE, 0);
	bench_report_add(report, p99, path_stats->p99_us / US_PER_MS, "ms",
			 BOUND_NONE, 0);
	g_free(throughput);
	g_free(p50);
	g_free(p99);
}

static void report_ratios(struct bench_report *report,
			  const struct path_stats *direct_path,
			  const struct path_stats *node_path)
{
	bench_report_add(report, "throughput_ratio",
			 (double)node_path->complete_count /
				 (double)direct_path->complete_count,
			 "through/direct", BOUND_NONE, 0);
	bench_report_add(report, "p50_ratio",
			 node_path->p50_us / direct_path->p50_us,
			 "through/direct", BOUND_NONE, 0);
	bench_report_add(report, "p99_ratio",
			 node_path->p99_us / direct_path->p99_us,
			 "through/direct", BOUND_NONE, 0);
	bench_report_add(
		report, "not_whole",
		(double)(direct_path->failed_count + node_path->failed_count),
		"requests", BOUND_AT_MOST, 0);
}

static void compare_paths(struct path_testbed *testbed,
			  struct bench_report *report)
{
	struct path_stats direct_path = {.endpoint =
						 path_testbed_target(testbed)};
	struct path_stats node_path = {.endpoint = path_testbed_node(testbed)};

	for (int i = 0; i < PATH_ROUND_COUNT; i++) {
		run_throughput_round(&direct_path);
		run_throughput_round(&node_path);
	}
	for (int i = 0; i < PATH_ROUND_COUNT; i++) {
		run_latency_round(&direct_path);
		run_latency_round(&node_path);
	}
	report_path(report, "direct", &direct_path);
	report_path(report, "through", &node_path);
	report_ratios(report, &direct_path, &node_path);
}

static void measure_download(struct path_testbed *testbed,
			     struct bench_report *report)
{
	uint64_t before_bytes = path_testbed_peak_rss_bytes();
	uint64_t received_bytes = path_testbed_download(testbed);
	double growth_mib =
		(double)(path_testbed_peak_rss_bytes() - before_bytes) /
		BYTES_PER_MIB;

	bench_report_add(report, "download_received",
			 (double)received_bytes / BYTES_PER_MIB, "MiB",
			 BOUND_AT_LEAST,
			 PATH_TESTBED_DOWNLOAD_BYTES / BYTES_PER_MIB);
	bench_report_add(report, "download_memory_growth", growth_mib, "MiB",
			 BOUND_AT_MOST, GROWTH_BOUND_MIB);
}

static void run(struct bench_report *report)
{
	struct path_testbed *testbed = path_testbed_new();

	/* Runs first, as the peak memory of the process never goes down. */
	measure_download(testbed, report);
	compare_paths(testbed, report);
	path_testbed_free(testbed);
}

const struct bench bench_path = {
	"path", "requests through a node compared with direct ones", run};
