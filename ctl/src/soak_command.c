#include <ctl/command.h>

#include "soak_arguments.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <signal.h>
#include <soak/soak_error.h>
#include <soak/soak_shrink.h>
#include <stdio.h>
#include <string.h>

#define SHRINK_TRIES_MAX 40

static volatile sig_atomic_t is_stop_requested;

static void on_signal(int number)
{
	is_stop_requested = 1;
}

/* The state of a search for a shorter schedule that still fails. */
struct shrink_state {
	const struct soak_arguments *arguments;
	uint32_t try_count;
};

static void print_failures(const struct soak_result *result)
{
	for (int i = 0; i < FLOW_EVENT_KIND_COUNT; i++) {
		enum flow_event_kind kind = (enum flow_event_kind)i;

		if (soak_flow_event_is_failure(kind) &&
		    result->flow_event_counts[i] > 0)
			printf("  %s: %" PRIu64 "\n", flow_event_name(kind),
			       result->flow_event_counts[i]);
	}
}

static void print_violations(const struct soak_result *result)
{
	for (int i = 0; i < SOAK_RULE_COUNT; i++) {
		if (result->violation_counts[i] > 0)
			printf("  broken: %s: %u\n",
			       soak_rule_name((enum soak_rule)i),
			       result->violation_counts[i]);
	}
}

static void print_result(const struct soak_arguments *arguments,
			 const struct soak_result *result)
{
	printf("seed %" PRIu64 ": %" PRIu64 " requests answered, %" PRIu64
	       " failed, %u rules broken\n",
	       arguments->options.seed, result->answered_count,
	       result->failed_count, result->violation_count);
	print_failures(result);
	print_violations(result);
	printf("largest node: %u KB, %u descriptors, %u threads\n",
	       result->memory_kb, result->descriptor_count,
	       result->thread_count);
	fflush(stdout);
}

static struct soak_schedule *read_schedule(const char *path, GError **error)
{
	struct soak_schedule *schedule;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, error))
		return NULL;
	schedule = soak_schedule_parse(text, error);
	g_free(text);
	return schedule;
}

static struct soak_schedule *
make_schedule(const struct soak_arguments *arguments, GError **error)
{
	if (arguments->schedule_path)
		return read_schedule(arguments->schedule_path, error);
	if (arguments->options.deliberate_fault)
		return soak_schedule_parse(soak_deliberate_fault_schedule(),
					   error);
	return soak_schedule_draw(arguments->options.seed,
				  arguments->duration_ms);
}

static void print_schedule(const struct soak_schedule *schedule)
{
	char *text = soak_schedule_text(schedule);

	fputs(text, stdout);
	fflush(stdout);
	g_free(text);
}

/* A deliberate fault must violate its rule; otherwise none may be violated. */
static bool is_as_expected(const struct soak_arguments *arguments,
			   const struct soak_result *result)
{
	const struct soak_deliberate_fault *deliberate_fault =
		arguments->options.deliberate_fault;

	if (!deliberate_fault || deliberate_fault->rule == SOAK_RULE_COUNT)
		return result->violation_count == 0;
	return result->violation_counts[deliberate_fault->rule] > 0;
}

/* Returns whether a schedule fails; a run with an error counts as passed. */
static bool schedule_fails(void *context, const struct soak_schedule *schedule)
{
	struct shrink_state *shrink_state = context;
	struct soak_result result;
	GError *error = NULL;

	if (is_stop_requested)
		return false;
	printf("try %u: %u faults\n", ++shrink_state->try_count,
	       soak_schedule_count(schedule));
	if (!soak_run(&shrink_state->arguments->options, schedule, &result,
		      &error)) {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	print_result(shrink_state->arguments, &result);
	return result.violation_count > 0;
}

static void shrink_schedule(const struct soak_arguments *arguments,
			    const struct soak_schedule *schedule)
{
	struct shrink_state shrink_state = {.arguments = arguments};
	struct soak_shrink_options options = {SHRINK_TRIES_MAX, &shrink_state,
					      schedule_fails};
	struct soak_schedule *best = soak_shrink(schedule, &options);

	printf("shortest failing schedule:\n");
	print_schedule(best);
	soak_schedule_free(best);
}

static int run_schedule(const struct soak_arguments *arguments, GError **error)
{
	struct soak_schedule *schedule = make_schedule(arguments, error);
	struct soak_result result;
	bool has_passed;

	if (!schedule)
		return EXIT_CODE_BAD_DATA;
	print_schedule(schedule);
	if (!soak_run(&arguments->options, schedule, &result, error)) {
		soak_schedule_free(schedule);
		return EXIT_CODE_UNAVAILABLE;
	}
	print_result(arguments, &result);
	has_passed = is_as_expected(arguments, &result);
	if (!has_passed && arguments->is_replay)
		shrink_schedule(arguments, schedule);
	soak_schedule_free(schedule);
	if (!has_passed || arguments->is_directory_given)
		printf("report and logs: %s\n", arguments->options.directory);
	return has_passed ? EXIT_CODE_DONE : EXIT_CODE_FAILED;
}

/* Prints the name of each deliberate fault on a line of its own. */
static void print_deliberate_fault_names(void)
{
	for (uint32_t i = 0; soak_deliberate_fault_at(i); i++)
		puts(soak_deliberate_fault_at(i)->name);
}

/* Removes the files of a run that passed without --directory. */
static void remove_run_files(const struct soak_arguments *arguments)
{
	GDir *directory = g_dir_open(arguments->options.directory, 0, NULL);
	const char *name;

	while (directory && (name = g_dir_read_name(directory))) {
		char *path = g_build_filename(arguments->options.directory,
					      name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (directory)
		g_dir_close(directory);
	g_rmdir(arguments->options.directory);
}

static int run_in_directory(struct soak_arguments *arguments)
{
	GError *error = NULL;
	int code = EXIT_CODE_FAILED;

	if (soak_arguments_make_directory(arguments, &error))
		code = run_schedule(arguments, &error);
	if (error) {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
	}
	if (code == EXIT_CODE_DONE && !arguments->is_directory_given)
		remove_run_files(arguments);
	return code;
}

static int run(int argc, char **argv)
{
	struct soak_arguments *arguments = soak_arguments_new();
	int code = EXIT_CODE_DONE;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	arguments->options.is_stop_requested = &is_stop_requested;
	switch (soak_arguments_parse(arguments, argc, argv)) {
	case SOAK_ARGUMENTS_RUN:
		code = run_in_directory(arguments);
		break;
	case SOAK_ARGUMENTS_LIST:
		print_deliberate_fault_names();
		break;
	case SOAK_ARGUMENTS_HELP:
		soak_arguments_print_usage(stdout);
		break;
	case SOAK_ARGUMENTS_INVALID:
		soak_arguments_print_usage(stderr);
		code = EXIT_CODE_USAGE;
		break;
	}
	soak_arguments_free(arguments);
	return code;
}

const struct command soak_command = {
	"soak", "run nodes under injected faults and check what callers see",
	run};
