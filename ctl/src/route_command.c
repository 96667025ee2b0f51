#include <ctl/command.h>

#include "route_arguments.h"
#include "route_printer.h"

#include <platform/http_call.h>
#include <signal.h>

#define TIMEOUT_MS 2000
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

static const char usage_text[] =
	"Usage: shallotctl route --service ADDRESS:PORT [OPTIONS]\n"
	"Asks a node where a new flow to this address would go now, and why.\n"
	"\n"
	"  -s, --service ADDRESS:PORT the address of the route\n"
	"  -c, --caller ADDRESS:PORT  also show the node's record of the\n"
	"                             caller's flow\n"
	"  -n, --node ADDRESS:PORT    the node's admin interface; default\n"
	"                             127.0.0.1:7002\n"
	"  -j, --json                 print the node's JSON\n";

/* One question to a node, and the exit code. */
struct route_run {
	struct route_arguments arguments;
	struct event_base *base;
	int exit_code;
};

static int fail(const char *text, int exit_code)
{
	fprintf(stderr, "shallotctl: %s\n", text);
	return exit_code;
}

/* Prints the error that the node states, or its status. */
static int refuse(int status, const json_t *body)
{
	const char *text = json_string_value(json_object_get(body, "error"));

	if (text)
		return fail(text, status == STATUS_UNAVAILABLE
					  ? EXIT_CODE_UNAVAILABLE
					  : EXIT_CODE_FAILED);
	fprintf(stderr, "shallotctl: the node responded with status %d\n",
		status);
	return EXIT_CODE_FAILED;
}

static int print(const struct route_run *run, int status, const char *bytes,
		 size_t length_bytes)
{
	json_t *body = json_loadb(bytes, length_bytes, 0, NULL);
	int exit_code = EXIT_CODE_DONE;

	if (status != STATUS_OK) {
		exit_code = refuse(status, body);
	} else if (!json_is_object(body)) {
		exit_code = fail("the node's response is no JSON object",
				 EXIT_CODE_BAD_DATA);
	} else if (run->arguments.is_json) {
		json_dumpf(body, stdout, JSON_INDENT(2));
		putchar('\n');
	} else {
		route_printer_print(stdout, body);
	}
	json_decref(body);
	return exit_code;
}

static void on_done(void *context, struct http_call *call, int status,
		    const char *bytes, size_t length_bytes, const GError *error)
{
	struct route_run *run = context;

	if (error)
		run->exit_code = fail(error->message, EXIT_CODE_UNAVAILABLE);
	else
		run->exit_code =
			print(run, status, bytes ? bytes : "", length_bytes);
	event_base_loopbreak(run->base);
}

static void ask(struct route_run *run)
{
	char *path = route_arguments_path(&run->arguments);
	struct http_call_options options = {
		.base = run->base,
		.server = run->arguments.node,
		.method = HTTP_METHOD_GET,
		.path = path,
		.timeout_ms = TIMEOUT_MS,
		.context = run,
		.on_done = on_done,
	};
	GError *error = NULL;
	struct http_call *call = http_call_new(&options, &error);

	if (call)
		event_base_loop(run->base, EVLOOP_NO_EXIT_ON_EMPTY);
	else
		run->exit_code = fail(error->message, EXIT_CODE_UNAVAILABLE);
	g_clear_error(&error);
	http_call_free(call);
	g_free(path);
}

static int run(int argc, char **argv)
{
	struct route_run run = {.exit_code = EXIT_CODE_DONE};

	if (!route_arguments_parse(&run.arguments, argc, argv)) {
		fputs(usage_text, stderr);
		return EXIT_CODE_USAGE;
	}
	if (run.arguments.is_help) {
		fputs(usage_text, stdout);
		return EXIT_CODE_DONE;
	}
	signal(SIGPIPE, SIG_IGN);
	run.base = event_base_new();
	ask(&run);
	event_base_free(run.base);
	return run.exit_code;
}

const struct command route_command = {
	"route", "explain where a node would send a new flow", run};
