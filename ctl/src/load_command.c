#include <ctl/command.h>

#include "load_arguments.h"

#include <ctl/load_report.h>
#include <stdio.h>

static const char usage_text[] =
	"Usage: shallotctl load [OPTIONS] URL\n"
	"Sends HTTP requests in an open loop with Poisson arrivals and prints "
	"what became\nof them. URL is http://ADDRESS:PORT/PATH.\n"
	"\n"
	"  -r, --rate N           requests a second, 1 to 20000 (100)\n"
	"  -d, --duration-s N     how long to send, 1 to 3600 (10)\n"
	"  -s, --seed N           seed of the arrivals (1)\n"
	"  -t, --timeout-ms N     how long to wait for an answer (10000)\n"
	"  -c, --class HOST:SHARE[:post]\n"
	"                         a part of the mix: requests to service HOST, "
	"GET or POST;\n"
	"                         may come again (the URL's host, GET)\n"
	"  -e, --check-echo       the answers must be a stand-in target's\n"
	"  -a, --any-address      also load addresses beyond loopback\n"
	"  -h, --help             print this text\n"
	"\n"
	"Exits 1 when an answer was wrong, cut or missing.\n";

static int report(const struct load_task *load,
		  const struct load_options *options)
{
	uint64_t bad_count =
		load_report_outcome_count(load, options, LOAD_WRONG) +
		load_report_outcome_count(load, options, LOAD_BROKEN);

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

	switch (load_arguments_read(arguments, argc, argv)) {
	case LOAD_ARGUMENTS_HELP:
		fputs(usage_text, stdout);
		code = EXIT_CODE_DONE;
		break;
	case LOAD_ARGUMENTS_BAD:
		fputs(usage_text, stderr);
		break;
	case LOAD_ARGUMENTS_GOOD:
		code = run_load(arguments);
		break;
	}
	load_arguments_free(arguments);
	return code;
}

const struct command load_command = {"load", "send real HTTP load", run};
