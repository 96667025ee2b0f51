#include <daemon/daemon_error.h>
#include <daemon/settings.h>
#include <daemon/shallotd.h>
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <sys/resource.h>
#include <task/log.h>
#include <unistd.h>

#define EXIT_OK 0
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
	"  -c, --check-settings FILE  validate FILE and exit\n"
	"  -h, --help                 print this text\n"
	"  -V, --version              print the version\n"
	"\n"
	"Exit codes: 0 drained and stopped, 1 not started or not drained in "
	"time,\n2 usage, 65 bad settings or rules.\n"
	"SIGTERM and SIGINT drain and stop; a second one stops at once. SIGHUP "
	"rereads\nthe log settings and reports whether others need a "
	"restart.\n";

/* Sent by the drain callback to wake the main thread from sigwait. */
#define SIGNAL_DRAINED SIGUSR1

/* State of the main thread while it waits for signals. */
struct process {
	const char *settings_path;
	const struct settings *settings;
	struct shallotd *daemon;
	struct log *log;
	atomic_bool is_drained;
};

static void on_drained(void *context, bool is_drained)
{
	struct process *process = context;

	atomic_store(&process->is_drained, is_drained);
	kill(getpid(), SIGNAL_DRAINED);
}

/* Returns false if the drain cannot start; the node then stops at once. */
static bool start_drain(struct process *process, int signal_number)
{
	struct shallotd_drain_options options = {
		.context = process,
		.on_done = on_drained,
	};
	GError *error = NULL;

	log_write(process->log, LOG_LEVEL_NOTICE, "draining",
		  "signal=%d timeout_ms=%u", signal_number,
		  process->settings->drain_timeout_ms);
	if (shallotd_drain(process->daemon, &options, &error))
		return true;
	log_write(process->log, LOG_LEVEL_ERROR, "not_drained", "error=\"%s\"",
		  error->message);
	g_error_free(error);
	return false;
}

static void apply_settings(struct process *process,
			   const struct settings *settings)
{
	const char *section =
		settings_restart_section(process->settings, settings);

	if (section)
		log_write(process->log, LOG_LEVEL_WARNING,
			  "settings_need_restart", "section=%s", section);
	log_configure(process->log, (enum log_level)settings->log_level,
		      LOG_RATE_PER_S);
	shallotd_configure_log(process->daemon, settings->log_level,
			       settings->log_rate_per_s);
	log_write(process->log, LOG_LEVEL_NOTICE, "settings_reread",
		  "log_level=%u log_rate_per_s=%u", settings->log_level,
		  settings->log_rate_per_s);
}

/*
 * Applies changed log settings; logs the section of the first other change,
 * which needs a restart.
 */
static void reload_settings(struct process *process)
{
	GError *error = NULL;
	struct settings *settings =
		settings_read(process->settings_path, &error);

	if (settings) {
		apply_settings(process, settings);
	} else {
		log_write(process->log, LOG_LEVEL_ERROR, "settings_not_reread",
			  "error=\"%s\"", error->message);
		g_error_free(error);
	}
	settings_free(settings);
}

/*
 * Must run before threads start: they inherit the mask, so that the signals
 * are delivered only to sigwait.
 */
static void block_signals(sigset_t *signals)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	sigaddset(signals, SIGNAL_DRAINED);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}

/*
 * Waits for a stop signal and then for the end of the drain, which a second
 * stop signal cuts short. Returns the exit code.
 */
static int wait_for_shutdown(struct process *process, const sigset_t *signals)
{
	bool is_draining = false;
	int signal_number = 0;

	while (sigwait(signals, &signal_number) == 0) {
		if (signal_number == SIGHUP) {
			reload_settings(process);
			continue;
		}
		if (signal_number == SIGNAL_DRAINED || is_draining)
			break;
		is_draining = start_drain(process, signal_number);
		if (!is_draining)
			break;
	}
	return atomic_load(&process->is_drained) ? EXIT_OK : EXIT_FAILED;
}

static int run_node(struct process *process, const sigset_t *signals)
{
	GError *error = NULL;
	int code;

	process->daemon = shallotd_new(process->settings, &error);
	if (!process->daemon) {
		code = g_error_matches(error, DAEMON_ERROR, DAEMON_ERROR_RULES)
			       ? EXIT_BAD_DATA
			       : EXIT_FAILED;
		log_write(process->log, LOG_LEVEL_ERROR, "not_started",
			  "error=\"%s\"", error->message);
		g_error_free(error);
		return code;
	}
	log_write(process->log, LOG_LEVEL_NOTICE, "started", "node=%s zone=%s",
		  process->settings->node_name, process->settings->zone);
	code = wait_for_shutdown(process, signals);
	log_write(process->log, LOG_LEVEL_NOTICE, "stopped", "drained=%s",
		  code == EXIT_OK ? "yes" : "no");
	shallotd_free(process->daemon);
	return code;
}

/*
 * Raises the soft limit, which is often 1024, to the hard limit, because each
 * connection uses file descriptors.
 */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run(const char *path, const struct settings *settings)
{
	struct log_options log_options = {
		.program = "shallotd",
		.task = "main",
		.level = (enum log_level)settings->log_level,
		.rate_per_s = LOG_RATE_PER_S,
		.fd = STDOUT_FILENO,
	};
	struct process process = {
		.settings_path = path,
		.settings = settings,
		.log = log_new(&log_options),
	};
	sigset_t signals;
	int code;

	block_signals(&signals);
	raise_descriptor_limit();
	code = run_node(&process, &signals);
	log_free(process.log);
	return code;
}

static int load_and_run(const char *path, bool is_check_only)
{
	GError *error = NULL;
	struct settings *settings = settings_read(path, &error);
	int code = EXIT_OK;

	if (!settings) {
		fprintf(stderr, "shallotd: %s\n", error->message);
		g_error_free(error);
		return EXIT_BAD_DATA;
	}
	if (!is_check_only)
		code = run(path, settings);
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
		return load_and_run(optarg, option == 'c');
	case 'h':
		fputs(usage_text, stdout);
		return EXIT_OK;
	case 'V':
		puts("shallotd " SHALLOT_VERSION);
		return EXIT_OK;
	default:
		fputs(usage_text, stderr);
		return EXIT_USAGE;
	}
}
