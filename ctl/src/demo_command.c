#include <ctl/command.h>

#include "demo_run.h"

#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static const struct option long_options[] = {
	{"duration-s", required_argument, NULL, 'd'},
	{"node", required_argument, NULL, 'n'},
	{"rules", required_argument, NULL, 'r'},
	{"store", required_argument, NULL, 's'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotctl demo --rules FILE --store ADDRESS\n"
	"                       --node REQUESTS,PACKETS ... [--duration-s N]\n"
	"Runs a fake store, fake targets and a fake fabric, waits for a line "
	"on\nstandard input, then sends requests and flows through the nodes. "
	"Drains a\ntarget halfway. Exits 1 if a flow broke, a response was "
	"wrong or the drained\ntarget still got new flows or requests. The "
	"nodes must be running already;\nscripts/demo-home starts them.\n";

static bool parse_node(struct demo_options *options, const char *text)
{
	char **parts = g_strsplit(text, ",", -1);
	bool is_valid = g_strv_length(parts) == 2 &&
			options->node_count < DEMO_NODE_COUNT_MAX;

	is_valid =
		is_valid &&
		endpoint_parse(&options->request_addresses[options->node_count],
			       parts[0]) &&
		endpoint_parse(&options->packet_addresses[options->node_count],
			       parts[1]);
	if (is_valid)
		options->node_count++;
	g_strfreev(parts);
	return is_valid;
}

static bool parse_option(struct demo_options *options, int option)
{
	guint64 duration_s;

	switch (option) {
	case 'd':
		if (!g_ascii_string_to_unsigned(optarg, 10, 1,
						DEMO_DURATION_MAX_S,
						&duration_s, NULL))
			return false;
		options->duration_s = (uint32_t)duration_s;
		return true;
	case 'n':
		return parse_node(options, optarg);
	case 'r':
		options->rules_path = optarg;
		return true;
	case 's':
		return endpoint_parse(&options->store, optarg);
	default:
		return false;
	}
}

static int run(int argc, char **argv)
{
	struct demo_options options = {.duration_s = DEMO_DURATION_DEFAULT_S};
	int option;

	while ((option = getopt_long(argc, argv, "d:n:r:s:h", long_options,
				     NULL)) != -1) {
		if (option == 'h') {
			fputs(usage_text, stdout);
			return EXIT_CODE_DONE;
		}
		if (!parse_option(&options, option)) {
			fputs(usage_text, stderr);
			return EXIT_CODE_USAGE;
		}
	}
	if (options.node_count == 0 || !options.rules_path ||
	    options.store.port == 0) {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	return demo_run(&options);
}

const struct command demo_command = {
	"demo", "send traffic through running nodes to fake targets", run};
