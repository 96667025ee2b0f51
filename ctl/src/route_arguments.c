#include "route_arguments.h"

#include <getopt.h>
#include <glib.h>

/* The admin interface of a node on this VM. */
#define NODE_DEFAULT "127.0.0.1:7002"

static const struct option long_options[] = {
	{"service", required_argument, NULL, 's'},
	{"caller", required_argument, NULL, 'c'},
	{"node", required_argument, NULL, 'n'},
	{"json", no_argument, NULL, 'j'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static bool parse_address(struct endpoint *endpoint, const char *text)
{
	return endpoint_parse(endpoint, text) && endpoint->port != 0;
}

static bool parse_option(struct route_arguments *arguments, int option,
			 const char *value)
{
	switch (option) {
	case 's':
		return parse_address(&arguments->service, value);
	case 'c':
		arguments->has_caller = true;
		return parse_address(&arguments->caller, value);
	case 'n':
		return parse_address(&arguments->node, value);
	case 'j':
		arguments->is_json = true;
		return true;
	case 'h':
		arguments->is_help = true;
		return true;
	default:
		return false;
	}
}

/*
 * Parses the arguments; argv[0] is the subcommand. Returns false if they are
 * invalid; with --help, the others need not be complete.
 */
bool route_arguments_parse(struct route_arguments *arguments, int argc,
			   char **argv)
{
	int option;

	*arguments = (struct route_arguments){.is_json = false};
	endpoint_parse(&arguments->node, NODE_DEFAULT);
	while ((option = getopt_long(argc, argv, "s:c:n:jh", long_options,
				     NULL)) != -1) {
		if (!parse_option(arguments, option, optarg))
			return false;
	}
	if (arguments->is_help)
		return true;
	return optind == argc && arguments->service.port != 0;
}

static char *escape(const struct endpoint *endpoint)
{
	char text[ENDPOINT_TEXT_BYTES];

	return g_uri_escape_string(endpoint_format(endpoint, text), ":", false);
}

/* Returns the path of the question to the node; free it with g_free. */
char *route_arguments_path(const struct route_arguments *arguments)
{
	char *service = escape(&arguments->service);
	char *caller =
		arguments->has_caller ? escape(&arguments->caller) : NULL;
	char *path = g_strconcat("/route?service=", service,
				 caller ? "&caller=" : NULL, caller, NULL);

	g_free(service);
	g_free(caller);
	return path;
}
