/* The load generator: command line, outcome counts and latency percentiles. */
#include "load_arguments.h"

#include <ctl/load_report.h>
#include <fakes/fake_target.h>
#include <fakes/loopback.h>
#include <fakes/script_target.h>
#include <fakes/test_main.h>
#include <getopt.h>

#define ARGUMENT_COUNT_MAX 8

/* Command lines and the expected result. */
static const struct {
	const char *name;
	const char *arguments[ARGUMENT_COUNT_MAX];
	enum load_arguments_result result;
	uint32_t class_count;
} argument_rows[] = {
	{"url", {"http://127.0.0.1:8080/x"}, LOAD_ARGUMENTS_OK, 1},
	{"mix",
	 {"-c", "a:3", "-c", "b:1:post", "http://127.0.0.1:8080/"},
	 LOAD_ARGUMENTS_OK,
	 2},
	{"v6-loopback", {"http://[::1]:8080/"}, LOAD_ARGUMENTS_OK, 1},
	{"any-address", {"-a", "http://192.0.2.1/"}, LOAD_ARGUMENTS_OK, 1},
	{"not-loopback", {"http://192.0.2.1/"}, LOAD_ARGUMENTS_INVALID, 0},
	{"host-name", {"http://localhost/"}, LOAD_ARGUMENTS_INVALID, 0},
	{"no-url", {NULL}, LOAD_ARGUMENTS_INVALID, 0},
	{"two-urls",
	 {"http://127.0.0.1/", "http://127.0.0.1/"},
	 LOAD_ARGUMENTS_INVALID,
	 0},
	{"other-scheme", {"https://127.0.0.1/"}, LOAD_ARGUMENTS_INVALID, 0},
	{"rate-zero",
	 {"-r", "0", "http://127.0.0.1/"},
	 LOAD_ARGUMENTS_INVALID,
	 0},
	{"rate-large",
	 {"-r", "20001", "http://127.0.0.1/"},
	 LOAD_ARGUMENTS_INVALID,
	 0},
	{"duration-large",
	 {"-d", "3601", "http://127.0.0.1/"},
	 LOAD_ARGUMENTS_INVALID,
	 0},
	{"bad-class",
	 {"-c", "a", "http://127.0.0.1/"},
	 LOAD_ARGUMENTS_INVALID,
	 0},
	{"bad-method",
	 {"-c", "a:1:brew", "http://127.0.0.1/"},
	 LOAD_ARGUMENTS_INVALID,
	 0},
	{"help", {"--help"}, LOAD_ARGUMENTS_HELP, 0},
};

START_TEST(test_arguments)
{
	struct load_arguments *arguments = load_arguments_new();
	char *argv[ARGUMENT_COUNT_MAX + 2] = {(char *)"load"};
	int argc = 1;

	for (int i = 0; i < ARGUMENT_COUNT_MAX; i++) {
		if (argument_rows[_i].arguments[i])
			argv[argc++] = (char *)argument_rows[_i].arguments[i];
	}
	optind = 0;
	ck_assert_int_eq(load_arguments_parse(arguments, argc, argv),
			 argument_rows[_i].result);
	if (argument_rows[_i].result == LOAD_ARGUMENTS_OK)
		ck_assert_uint_eq(arguments->options.class_count,
				  argument_rows[_i].class_count);
	load_arguments_free(arguments);
}
END_TEST

/* Counts of two latencies, and the lower bound of a percentile of them. */
static const struct {
	uint64_t small_us;
	uint64_t small_count;
	uint64_t large_us;
	uint64_t large_count;
	double percent;
	uint64_t min_us;
} histogram_rows[] = {
	{0, 0, 0, 0, 50, 0},	      {5, 10, 0, 0, 50, 5},
	{100, 99, 9000, 1, 99, 100},  {100, 99, 9000, 1, 99.9, 9000},
	{100, 50, 9000, 50, 50, 100}, {1, 1, 60000000, 1, 100, 60000000},
};

START_TEST(test_histogram)
{
	struct latency_histogram *histogram = latency_histogram_new();
	uint64_t percentile_us;

	for (uint32_t i = 0; i < histogram_rows[_i].small_count; i++)
		latency_histogram_add(histogram, histogram_rows[_i].small_us);
	for (uint32_t i = 0; i < histogram_rows[_i].large_count; i++)
		latency_histogram_add(histogram, histogram_rows[_i].large_us);
	percentile_us = latency_histogram_percentile_us(
		histogram, histogram_rows[_i].percent);
	ck_assert_uint_ge(percentile_us, histogram_rows[_i].min_us);
	ck_assert_uint_le(percentile_us, histogram_rows[_i].min_us +
						 histogram_rows[_i].min_us / 8 +
						 1);
	latency_histogram_free(histogram);
}
END_TEST

/*
 * The target closes its connection after each response. Without this header a
 * caller could send its next request on a connection that is being closed.
 */
#define CONNECTION_CLOSE "Connection: close\r\n"

/* Responses of a target and the outcome that is counted. */
static const struct {
	const char *name;
	const char *response;
	bool is_echo_checked;
	enum load_outcome outcome;
} outcome_rows[] = {
	{"whole",
	 "HTTP/1.1 200 OK\r\n" CONNECTION_CLOSE "Content-Length: 2\r\n\r\nok",
	 false, LOAD_COMPLETE},
	{"wrong",
	 "HTTP/1.1 200 OK\r\n" CONNECTION_CLOSE "Content-Length: 2\r\n\r\nok",
	 true, LOAD_WRONG_ECHO},
	{"not-run",
	 "HTTP/1.1 503 x\r\n" CONNECTION_CLOSE "Shallot-Outcome: not-run\r\n"
	 "Content-Length: 0\r\n\r\n",
	 false, LOAD_NOT_RUN},
	{"unknown",
	 "HTTP/1.1 504 x\r\n" CONNECTION_CLOSE "Shallot-Outcome: unknown\r\n"
	 "Content-Length: 0\r\n\r\n",
	 false, LOAD_UNKNOWN},
	{"rejected",
	 "HTTP/1.1 421 x\r\n" CONNECTION_CLOSE "Content-Length: 0\r\n\r\n",
	 false, LOAD_REJECTED},
	{"cut",
	 "HTTP/1.1 200 OK\r\n" CONNECTION_CLOSE "Content-Length: 9\r\n\r\nok",
	 false, LOAD_INCOMPLETE},
};

START_TEST(test_outcome)
{
	struct script_step script[1][SCRIPT_STEP_COUNT_MAX] = {
		{{SCRIPT_SEND, outcome_rows[_i].response, 0},
		 {SCRIPT_CLOSE, NULL, 0}}};
	struct script_target_options target_options = {
		.scripts = (const struct script_step(*)[SCRIPT_STEP_COUNT_MAX])
			script,
		.script_count = 1,
	};
	struct script_target *target = script_target_new(&target_options, NULL);
	struct endpoint endpoint = script_target_endpoint(target);
	struct load_class load_class = {.name = "k",
					.host = "k",
					.path = "/",
					.share = 1,
					.is_repeatable = true};
	struct load_options options = {
		.nodes = &endpoint,
		.node_count = 1,
		.classes = &load_class,
		.class_count = 1,
		.rate_per_s = 200,
		.duration_ms = 200,
		.timeout_ms = 10000,
		.open_limit = 100,
		.seed = 1,
		.is_echo_checked = outcome_rows[_i].is_echo_checked,
	};
	struct load_task *load = load_task_new(&options, NULL);
	const struct load_result *result = load_task_result(load, 0);

	load_task_join(load);
	ck_assert_uint_gt(result->sent_count, 0);
	ck_assert_uint_eq(result->outcome_counts[outcome_rows[_i].outcome],
			  result->sent_count);
	load_task_free(load);
	script_target_free(target);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("load");
	TCase *tcase = tcase_create("load");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_arguments, 0,
			    G_N_ELEMENTS(argument_rows));
	tcase_add_loop_test(tcase, test_histogram, 0,
			    G_N_ELEMENTS(histogram_rows));
	tcase_add_loop_test(tcase, test_outcome, 0, G_N_ELEMENTS(outcome_rows));
	suite_add_tcase(suite, tcase);
	return test_main(suite);
}
