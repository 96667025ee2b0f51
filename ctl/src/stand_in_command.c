#include <ctl/command.h>

#include <core/endpoint.h>
#include <event2/event.h>
#include <fakes/fake_kv.h>
#include <fakes/fake_vm_list.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>

static const struct option long_options[] = {
	{"store", required_argument, NULL, 's'},
	{"vm-list", required_argument, NULL, 'v'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

static const char usage_text[] =
	"Usage: shallotctl stand-in --store ADDRESS:PORT [--vm-list "
	"ADDRESS:PORT]\n"
	"Runs stand-ins for the platform's services in memory, for trials and "
	"benches,\n"
	"until it is told to stop. GET /counts of the store prints its "
	"calls.\n";

/* The stand-ins that run. */
struct stand_ins {
	struct fake_kv *kv;
	struct fake_vm_list *vm_list;
};

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

static bool start(struct stand_ins *stand_ins, struct endpoint store,
		  struct endpoint vm_list, GError **error)
{
	struct fake_kv_options kv_options = {.listen = store};
	struct fake_vm_list_options vm_options = {.listen = vm_list,
						  .text = "[]"};

	stand_ins->kv = fake_kv_new(&kv_options, error);
	if (!stand_ins->kv || vm_list.port == 0)
		return stand_ins->kv != NULL;
	stand_ins->vm_list = fake_vm_list_new(&vm_options, error);
	return stand_ins->vm_list != NULL;
}

static int run_until_stopped(struct endpoint store, struct endpoint vm_list)
{
	struct stand_ins stand_ins = {.kv = NULL};
	GError *error = NULL;
	int code = EXIT_CODE_DONE;

	signal(SIGPIPE, SIG_IGN);
	if (start(&stand_ins, store, vm_list, &error)) {
		wait_for_signal();
	} else {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
		code = EXIT_CODE_FAILED;
	}
	fake_vm_list_free(stand_ins.vm_list);
	fake_kv_free(stand_ins.kv);
	return code;
}

static int run(int argc, char **argv)
{
	struct endpoint store = {.port = 0};
	struct endpoint vm_list = {.port = 0};
	bool is_valid = true;
	int letter;

	while ((letter = getopt_long(argc, argv, "s:v:h", long_options,
				     NULL)) != -1) {
		if (letter == 's')
			is_valid = is_valid && endpoint_parse(&store, optarg);
		else if (letter == 'v')
			is_valid = is_valid && endpoint_parse(&vm_list, optarg);
		else
			is_valid = false;
	}
	if (!is_valid || optind != argc || store.port == 0) {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	return run_until_stopped(store, vm_list);
}

const struct command stand_in_command = {
	"stand-in", "run stand-ins for the platform's services", run};
