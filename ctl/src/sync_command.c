#include <ctl/command.h>

#include "sync_session.h"

#include <getopt.h>
#include <signal.h>
#include <stdio.h>

#define WAIT_DEFAULT_S 10
#define WAIT_MAX_S 86400

static const struct option long_options[] = {
	{"store", required_argument, NULL, 's'},
	{"token-file", required_argument, NULL, 't'},
	{"key-prefix", required_argument, NULL, 'p'},
	{"json", no_argument, NULL, 'j'},
	{"once", no_argument, NULL, 'o'},
	{"state", required_argument, NULL, 'S'},
	{"wait-s", required_argument, NULL, 'w'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static void print_usage(FILE *out)
{
	fprintf(out,
		"Usage: shallotctl sync [OPTIONS] FILE\n"
		"Brings the rules in FILE into force whenever FILE is saved.\n"
		"\n%s"
		"  -o, --once                sync once and exit\n"
		"  -w, --wait-s SECONDS      how long --once waits until the "
		"rules are in force;\n"
		"                            default 10\n"
		"  -S, --state STATE         file that keeps the last synced "
		"rules; default\n"
		"                            .FILE.sync in the directory of "
		"FILE\n",
		store_options_usage());
}

static bool parse_option(struct sync_session_options *options, int option)
{
	guint64 number;

	switch (option) {
	case 'o':
		options->is_once = true;
		return true;
	case 'S':
		options->state_path = optarg;
		return true;
	case 'w':
		if (!g_ascii_string_to_unsigned(optarg, 10, 1, WAIT_MAX_S,
						&number, NULL))
			return false;
		options->wait_s = (uint32_t)number;
		return true;
	default:
		return store_options_parse(&options->store, option, optarg);
	}
}

static bool parse_options(struct sync_session_options *options, int argc,
			  char **argv)
{
	int option;

	if (!store_options_init(&options->store))
		return false;
	while ((option = getopt_long(argc, argv, "s:t:p:joS:w:h", long_options,
				     NULL)) != -1) {
		if (!parse_option(options, option))
			return false;
	}
	if (optind != argc - 1 || options->store.server.port == 0)
		return false;
	options->path = argv[optind];
	return true;
}

static char *default_state_path(const char *path)
{
	char *directory = g_path_get_dirname(path);
	char *name = g_path_get_basename(path);
	char *state_path = g_strdup_printf("%s/.%s.sync", directory, name);

	g_free(directory);
	g_free(name);
	return state_path;
}

static int run_session(const struct sync_session_options *options)
{
	GError *error = NULL;
	struct sync_session *session = sync_session_new(options, &error);
	int code;

	if (!session) {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
		return EXIT_CODE_FAILED;
	}
	code = sync_session_run(session);
	sync_session_free(session);
	return code;
}

static int run(int argc, char **argv)
{
	struct sync_session_options options = {.wait_s = WAIT_DEFAULT_S};
	char *state_path = NULL;
	int code;

	if (!parse_options(&options, argc, argv)) {
		print_usage(stderr);
		return EXIT_CODE_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	if (!options.state_path)
		state_path = default_state_path(options.path);
	if (state_path)
		options.state_path = state_path;
	code = run_session(&options);
	g_free(state_path);
	return code;
}

const struct command sync_command = {
	"sync", "bring a rules file into force whenever it is saved", run};
