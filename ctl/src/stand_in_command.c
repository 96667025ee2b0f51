#include <ctl/command.h>

#include <core/endpoint.h>
#include <event2/event.h>
#include <fakes/fake_kv.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>

static const struct option long_options[] = {
	{"store", required_argument, NULL, 's'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotctl stand-in --store ADDRESS:PORT\n"
	"Runs an in-memory fake of the platform's store, for tests and "
	"benchmarks, until\nSIGTERM or SIGINT. GET /counts returns the number "
	"of calls by kind.\n";

static void on_signal(evutil_socket_t number, short what, void *context)
{
	event_base_loopbreak(context);
}

static void wait_for_signal(void)
{
	struct event_base *base = event_base_new();
	struct event *term = evsignal_new(base, SIGTERM, on_signal, base);
	struct event *interrupt = evsignal_new(base, SIGINT, on_signal, base);

	event_add(term, NULL);
	event_add(interrupt, NULL);
	event_base_dispatch(base);
	event_free(term);
	event_free(interrupt);
	event_base_free(base);
}

static int run_until_stopped(struct endpoint store)
{
	struct fake_kv_options options = {.listen = store};
	GError *error = NULL;
	struct fake_kv *kv;

	signal(SIGPIPE, SIG_IGN);
	kv = fake_kv_new(&options, &error);
	if (!kv) {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
		return EXIT_CODE_FAILED;
	}
	wait_for_signal();
	fake_kv_free(kv);
	return EXIT_CODE_DONE;
}

static int run(int argc, char **argv)
{
	struct endpoint store = {.port = 0};
	bool is_valid = true;
	int option;

	while ((option = getopt_long(argc, argv, "s:h", long_options, NULL)) !=
	       -1) {
		if (option == 's')
			is_valid = is_valid && endpoint_parse(&store, optarg);
		else
			is_valid = false;
	}
	if (!is_valid || optind != argc || store.port == 0) {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	return run_until_stopped(store);
}

const struct command stand_in_command = {
	"stand-in", "run an in-memory fake of the platform's store", run};
