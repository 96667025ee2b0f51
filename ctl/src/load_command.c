#include <ctl/command.h>

#include "load_arguments.h"

#include <ctl/load_report.h>
#include <stdio.h>

static const char usage_text[] =
	"Usage: shallotctl load [OPTIONS] URL\n"
	"Sends HTTP requests in an open loop with Poisson arrivals and prints "
	"their\noutcomes and latencies. URL is http://ADDRESS:PORT/PATH.\n"
	"\n"
	"  -r, --rate N           requests per second, 1 to 20000 (100)\n"
	"  -d, --duration-s N     duration in seconds, 1 to 3600 (10)\n"
	"  -s, --seed N           seed of the random arrivals (1)\n"
	"  -t, --timeout-ms N     timeout of a request (10000)\n"
	"  -c, --class HOST:SHARE[:post]\n"
	"                         GET or POST requests to service HOST, with "
	"weight SHARE\n"
	"                         in the mix; repeatable (the "
	"URL's host, GET)\n"
	"  -e, --check-echo       check that responses end with the request's "
	"path, as\n"
	"                         those of fake targets do\n"
	"  -a, --any-address      allow addresses other than loopback\n"
	"  -h, --help             print this text\n"
	"\n"
	"Exits 1 if a response was wrong, incomplete or missing.\n";

static int report(const struct load_task *load,
		  const struct load_options *options)
{
	uint64_t bad_count =
		load_report_outcome_count(load, options, LOAD_WRONG_ECHO) +
		load_report_outcome_count(load, options, LOAD_INCOMPLETE);

	load_report_print(load, options, stdout);
	load_report_plot(load, options, stdout);
	return bad_count == 0 ? EXIT_CODE_DONE : EXIT_CODE_FAILED;
}

static int run_load(const struct load_arguments *arguments)
{
	struct load_options options = arguments->options;
	GError *error = NULL;
	struct load_task *load;
	int code = EXIT_CODE_FAILED;

	options.nodes = &arguments->node;
	options.classes = arguments->classes;
	load = load_task_new(&options, &error);
	if (load) {
		load_task_join(load);
		code = report(load, &options);
	} else {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
	}
	load_task_free(load);
	return code;
}

static int run(int argc, char **argv)
{
	struct load_arguments *arguments = load_arguments_new();
	int code = EXIT_CODE_USAGE;

	switch (load_arguments_parse(arguments, argc, argv)) {
	case LOAD_ARGUMENTS_HELP:
		fputs(usage_text, stdout);
		code = EXIT_CODE_DONE;
		break;
	case LOAD_ARGUMENTS_INVALID:
		fputs(usage_text, stderr);
		break;
	case LOAD_ARGUMENTS_OK:
		code = run_load(arguments);
		break;
	}
	load_arguments_free(arguments);
	return code;
}

const struct command load_command = {"load", "send HTTP load to a node", run};
