#include <ctl/bench.h>

#include "path_bed.h"

#include <ctl/load_task.h>

#define SEED 1
#define TURN_COUNT 5
#define TURN_MS 1000
#define CALLER_COUNT 32
#define RATE_PER_S 1000
#define TIMEOUT_MS 10000
#define OPEN_LIMIT 4000
#define MS_PER_S 1000.0
#define BYTES_PER_MIB 1048576.0
/* 1% of the download. */
#define GROWTH_BOUND_MIB 10.24

static const struct load_class echo_class = {
	.name = "echo",
	.host = PATH_BED_SERVICE,
	.path = "/blocks/7",
	.share = 1,
	.is_repeatable = true,
};

/* The results of one path to the target, over all rounds. */
struct way {
	struct endpoint endpoint;
	uint64_t whole_count;
	uint64_t bad_count;
	double p50_us;
	double p99_us;
};

static struct load_options options_for(const struct way *way)
{
	return (struct load_options){
		.nodes = &way->endpoint,
		.node_count = 1,
		.classes = &echo_class,
		.class_count = 1,
		.duration_ms = TURN_MS,
		.timeout_ms = TIMEOUT_MS,
		.open_limit = OPEN_LIMIT,
		.seed = SEED,
		.is_echo_checked = true,
	};
}

static void count(struct way *way, const struct load_result *result)
{
	way->whole_count += result->outcome_counts[LOAD_WHOLE];
	way->bad_count +=
		result->sent_count - result->outcome_counts[LOAD_WHOLE];
}

/* Runs one round in which CALLER_COUNT callers send without pause. */
static void turn_of_throughput(struct way *way)
{
	struct load_options options = options_for(way);
	struct load_task *load;

	options.closed_count = CALLER_COUNT;
	load = load_task_new(&options, NULL);
	load_task_join(load);
	count(way, load_task_result(load, 0));
	load_task_free(load);
}

/* Runs one round at a steady rate; percentiles are averaged over the rounds. */
static void turn_of_latency(struct way *way)
{
	struct load_options options = options_for(way);
	const struct load_result *result;
	struct load_task *load;

	options.rate_per_s = RATE_PER_S;
	load = load_task_new(&options, NULL);
	load_task_join(load);
	result = load_task_result(load, 0);
	way->bad_count +=
		result->sent_count - result->outcome_counts[LOAD_WHOLE];
	way->p50_us +=
		(double)latency_histogram_percentile_us(result->latencies, 50) /
		TURN_COUNT;
	way->p99_us +=
		(double)latency_histogram_percentile_us(result->latencies, 99) /
		TURN_COUNT;
	load_task_free(load);
}

static void report_way(struct bench_report *report, const char *name,
		       const struct way *way)
{
	char *throughput = g_strconcat(name, "_throughput", NULL);
	char *p50 = g_strconcat(name, "_p50", NULL);
	char *p99 = g_strconcat(name, "_p99", NULL);

	bench_report_figure(report, throughput,
			    (double)way->whole_count * MS_PER_S /
				    (TURN_COUNT * TURN_MS),
			    "requests/s", BOUND_NONE, 0);
	bench_report_figure(report, p50, way->p50_us / MS_PER_S, "ms",
			    BOUND_NONE, 0);
	bench_report_figure(report, p99, way->p99_us / MS_PER_S, "ms",
			    BOUND_NONE, 0);
	g_free(throughput);
	g_free(p50);
	g_free(p99);
}

static void report_ratios(struct bench_report *report, const struct way *direct,
			  const struct way *through)
{
	bench_report_figure(report, "throughput_ratio",
			    (double)through->whole_count /
				    (double)direct->whole_count,
			    "through/direct", BOUND_NONE, 0);
	bench_report_figure(report, "p50_ratio",
			    through->p50_us / direct->p50_us, "through/direct",
			    BOUND_NONE, 0);
	bench_report_figure(report, "p99_ratio",
			    through->p99_us / direct->p99_us, "through/direct",
			    BOUND_NONE, 0);
	bench_report_figure(report, "not_whole",
			    (double)(direct->bad_count + through->bad_count),
			    "requests", BOUND_AT_MOST, 0);
}

static void compare(struct path_bed *bed, struct bench_report *report)
{
	struct way direct = {.endpoint = path_bed_target(bed)};
	struct way through = {.endpoint = path_bed_node(bed)};

	for (int i = 0; i < TURN_COUNT; i++) {
		turn_of_throughput(&direct);
		turn_of_throughput(&through);
	}
	for (int i = 0; i < TURN_COUNT; i++) {
		turn_of_latency(&direct);
		turn_of_latency(&through);
	}
	report_way(report, "direct", &direct);
	report_way(report, "through", &through);
	report_ratios(report, &direct, &through);
}

static void download(struct path_bed *bed, struct bench_report *report)
{
	uint64_t before_bytes = path_bed_peak_bytes();
	uint64_t received_bytes = path_bed_download(bed);
	double growth_mib =
		(double)(path_bed_peak_bytes() - before_bytes) / BYTES_PER_MIB;

	bench_report_figure(report, "download_received",
			    (double)received_bytes / BYTES_PER_MIB, "MiB",
			    BOUND_AT_LEAST,
			    PATH_BED_DOWNLOAD_BYTES / BYTES_PER_MIB);
	bench_report_figure(report, "download_memory_growth", growth_mib, "MiB",
			    BOUND_AT_MOST, GROWTH_BOUND_MIB);
}

static void run(struct bench_report *report)
{
	struct path_bed *bed = path_bed_new();

	/* First, as the peak memory of the process never goes down. */
	download(bed, report);
	compare(bed, report);
	path_bed_free(bed);
}

const struct bench bench_path = {
	"path", "requests through a node compared with direct ones", run};
