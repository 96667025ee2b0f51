#include <ctl/command.h>

#include <ctl/bench.h>
#include <stdio.h>
#include <string.h>

static const struct bench *const benches[] = {
	/* clang-format off */
	&bench_capacity,
	&bench_config,
	&bench_decide,
	&bench_flood,
	&bench_flow_pairs,
	&bench_flows,
	&bench_members,
	&bench_path,
	/* clang-format on */
};

#define BENCH_COUNT (sizeof(benches) / sizeof(benches[0]))

static int run_bench(const struct bench *bench)
{
	struct bench_report *report = bench_report_new(bench->name);
	bool is_met;

	bench->run(report);
	is_met = bench_report_is_met(report);
	bench_report_free(report);
	return is_met ? EXIT_CODE_DONE : EXIT_CODE_FAILED;
}

static void print_usage(FILE *out)
{
	fputs("Usage: shallotctl bench NAME\n"
	      "Prints name, value, unit and bound of each result; exits with 1 "
	      "if a bound is missed.\n\n",
	      out);
	for (size_t i = 0; i < BENCH_COUNT; i++)
		fprintf(out, "  %-10s %s\n", benches[i]->name,
			benches[i]->summary);
}

static int run(int argc, char **argv)
{
	if (argc == 2 && strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return EXIT_CODE_DONE;
	}
	for (size_t i = 0; argc == 2 && i < BENCH_COUNT; i++) {
		if (strcmp(benches[i]->name, argv[1]) == 0)
			return run_bench(benches[i]);
	}
	print_usage(stderr);
	return EXIT_CODE_USAGE;
}

const struct command bench_command = {
	"bench", "run a benchmark and check its bounds", run};
