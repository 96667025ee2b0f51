#include <daemon/settings.h>
#include <daemon/shallotd.h>
#include <event2/event.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <task/log.h>
#include <unistd.h>

#define EXIT_DONE 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define EXIT_BAD_DATA 65

#define LOG_RATE_PER_S 100

static const struct option long_options[] = {
	{"settings", required_argument, NULL, 's'},
	{"check-settings", required_argument, NULL, 'c'},
	{"help", no_argument, NULL, 'h'},
	{"version", no_argument, NULL, 'V'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotd --settings FILE\n"
	"       shallotd --check-settings FILE\n"
	"Runs one node of the load balancer.\n"
	"\n"
	"  -s, --settings FILE        run with the settings in FILE\n"
	"  -c, --check-settings FILE  validate FILE and leave\n"
	"  -h, --help                 print this text\n"
	"  -V, --version              print the version\n"
	"\n"
	"Exit codes: 0 done, 1 failed, 2 usage, 65 bad settings or rules.\n"
	"SIGTERM and SIGINT drain and stop.\n";

/* What the signal handlers of the main loop need. */
struct process {
	struct event_base *base;
	struct shallotd *daemon;
	struct log *log;
};

static void on_stop_signal(evutil_socket_t number, short what, void *context)
{
	struct process *process = context;

	log_write(process->log, LOG_LEVEL_NOTICE, "stopping", "signal=%d",
		  (int)number);
	shallotd_drain(process->daemon);
	event_base_loopbreak(process->base);
}

static void on_reread_signal(evutil_socket_t number, short what, void *context)
{
	struct process *process = context;

	log_write(process->log, LOG_LEVEL_WARNING, "settings_not_reread",
		  "reason=restart_needed");
}

static void wait_for_signal(struct process *process)
{
	struct event *term =
		evsignal_new(process->base, SIGTERM, on_stop_signal, process);
	struct event *interrupt =
		evsignal_new(process->base, SIGINT, on_stop_signal, process);
	struct event *hangup =
		evsignal_new(process->base, SIGHUP, on_reread_signal, process);

	event_add(term, NULL);
	event_add(interrupt, NULL);
	event_add(hangup, NULL);
	event_base_dispatch(process->base);
	event_free(term);
	event_free(interrupt);
	event_free(hangup);
}

static int run(const struct settings *settings)
{
	struct log_options log_options = {
		.program = "shallotd",
		.task = "main",
		.level = (enum log_level)settings->log_level,
		.rate_per_s = LOG_RATE_PER_S,
		.fd = STDERR_FILENO,
	};
	struct process process = {.log = log_new(&log_options)};
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	process.base = event_base_new();
	process.daemon = shallotd_new(settings, &error);
	if (process.daemon) {
		log_write(process.log, LOG_LEVEL_NOTICE, "started",
			  "node=%s zone=%s", settings->node_name,
			  settings->zone);
		wait_for_signal(&process);
		shallotd_free(process.daemon);
	} else {
		log_write(process.log, LOG_LEVEL_ERROR, "not_started",
			  "error=\"%s\"", error->message);
	}
	event_base_free(process.base);
	log_free(process.log);
	if (!error)
		return EXIT_DONE;
	g_error_free(error);
	return EXIT_FAILED;
}

static int run_with(const char *path, bool is_check)
{
	GError *error = NULL;
	struct settings *settings = settings_read(path, &error);
	int code = EXIT_DONE;

	if (!settings) {
		fprintf(stderr, "shallotd: %s\n", error->message);
		g_error_free(error);
		return EXIT_BAD_DATA;
	}
	if (!is_check)
		code = run(settings);
	settings_free(settings);
	return code;
}

int main(int argc, char **argv)
{
	int option;

	option = getopt_long(argc, argv, "s:c:hV", long_options, NULL);
	switch (option) {
	case 's':
	case 'c':
		return run_with(optarg, option == 'c');
	case 'h':
		fputs(usage_text, stdout);
		return EXIT_DONE;
	case 'V':
		puts("shallotd " SHALLOT_VERSION);
		return EXIT_DONE;
	default:
		fputs(usage_text, stderr);
		return EXIT_USAGE;
	}
}
