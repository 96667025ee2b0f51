#include <ctl/command.h>

#include "fleet_status.h"
#include "store_options.h"

#include <core/rule.h>
#include <getopt.h>
#include <inttypes.h>
#include <jansson.h>
#include <platform/kv_client.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <wire/rules_document_codec.h>

static const struct option long_options[] = {
	{"store", required_argument, NULL, 's'},
	{"token-file", required_argument, NULL, 't'},
	{"key-prefix", required_argument, NULL, 'p'},
	{"json", no_argument, NULL, 'j'},
	{"help", no_argument, NULL, 'h'},
	{NULL, 0, NULL, 0},
};

/* One run of the command: reads the rules, then the zones' reports. */
struct status_run {
	struct store_options options;
	struct event_base *base;
	struct kv_client *client;
	struct rules_document *document;
	struct fleet_status *status;
	GError *error;
};

static void print_usage(FILE *out)
{
	fprintf(out,
		"Usage: shallotctl status [OPTIONS]\n"
		"Shows the revision of each node, and the lines that are not\n"
		"in force on all nodes.\n"
		"\n%s",
		store_options_usage());
}

static void on_status(void *context, enum kv_outcome outcome,
		      const struct kv_reply *reply, const GError *error)
{
	struct status_run *run = context;

	if (reply)
		run->status = fleet_status_new(reply);
	else
		run->error = g_error_copy(error);
	event_base_loopbreak(run->base);
}

static void on_rules(void *context, enum kv_outcome outcome,
		     const struct kv_reply *reply, const GError *error)
{
	struct status_run *run = context;
	struct kv_callback callback = {run, on_status};
	const struct kv_entry *entry = reply ? kv_reply_entry(reply, 0) : NULL;
	char *key = g_strdup_printf("%s/status/", run->options.key_prefix);

	if (reply)
		run->document = rules_document_decode(
			entry ? entry->value : "",
			entry ? entry->value_bytes : 0, &run->error);
	else
		run->error = g_error_copy(error);
	if (run->document)
		kv_client_range(run->client, key, true, &callback);
	else
		event_base_loopbreak(run->base);
	g_free(key);
}

/* Revisions follow the wall clock in ms; returns how far the node is behind. */
static uint64_t lag_ms(const struct status_run *run,
		       const struct config_report *report)
{
	uint64_t revision = rules_document_revision(run->document);

	return report->revision < revision ? revision - report->revision : 0;
}

static void print_json(json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	puts(text);
	free(text);
	json_decref(object);
}

static void print_node(const struct status_run *run, uint32_t index)
{
	const struct config_report *report =
		fleet_status_at(run->status, index);
	const char *zone = fleet_status_zone(run->status, index);

	if (run->options.is_json)
		print_json(json_pack(
			"{s:o, s:s, s:I, s:I, s:i}", "node",
			json_sprintf("%016" PRIx64, report->node_id), "zone",
			zone, "revision", (json_int_t)report->revision,
			"lag_ms", (json_int_t)lag_ms(run, report), "held",
			(int)report->held_line_count));
	else
		printf("node %016" PRIx64 " zone %s revision %" PRIu64
		       " lag_ms %" PRIu64 " held %u\n",
		       report->node_id, zone, report->revision,
		       lag_ms(run, report), report->held_line_count);
}

static void print_line(const struct status_run *run,
		       const struct rules_line *line)
{
	uint32_t node_count = fleet_status_count(run->status);
	uint32_t in_force_count = fleet_status_in_force_count(
		run->status, line->generation, line->form);

	if (in_force_count == node_count)
		return;
	if (run->options.is_json)
		print_json(json_pack(
			"{s:s, s:I, s:i, s:i}", "service", line->name,
			"revision", (json_int_t)line->generation, "in_force",
			(int)in_force_count, "nodes", (int)node_count));
	else
		printf("line %s revision %" PRIu64
		       " in force on %u of %u nodes\n",
		       line->name, line->generation, in_force_count,
		       node_count);
}

static void print_status(const struct status_run *run)
{
	uint32_t node_count = fleet_status_count(run->status);
	uint64_t revision = rules_document_revision(run->document);

	if (run->options.is_json)
		print_json(json_pack("{s:I, s:i, s:i}", "revision",
				     (json_int_t)revision, "lines",
				     (int)rules_document_count(run->document),
				     "nodes", (int)node_count));
	else
		printf("store revision %" PRIu64 " lines %u nodes %u\n",
		       revision, rules_document_count(run->document),
		       node_count);
	for (uint32_t i = 0; i < node_count; i++)
		print_node(run, i);
	for (uint32_t i = 0; i < rules_document_count(run->document); i++)
		print_line(run, rules_document_at(run->document, i));
}

static void read_store(struct status_run *run)
{
	struct kv_client_options options = {
		.base = run->base,
		.server = run->options.server,
		.token_file = run->options.token_file,
		.timeout_ms = run->options.timeout_ms,
	};
	struct kv_callback callback = {run, on_rules};
	char *key = g_strdup_printf("%s/rules", run->options.key_prefix);

	run->client = kv_client_new(&options, &run->error);
	if (run->client) {
		kv_client_range(run->client, key, false, &callback);
		event_base_loop(run->base, EVLOOP_NO_EXIT_ON_EMPTY);
	}
	g_free(key);
}

static int finish(struct status_run *run)
{
	int code = EXIT_CODE_DONE;

	if (run->status) {
		print_status(run);
	} else {
		fprintf(stderr, "shallotctl: %s\n", run->error->message);
		code = EXIT_CODE_UNAVAILABLE;
	}
	g_clear_error(&run->error);
	fleet_status_free(run->status);
	rules_document_free(run->document);
	kv_client_free(run->client);
	event_base_free(run->base);
	return code;
}

static bool parse_options(struct store_options *options, int argc, char **argv)
{
	int option;

	if (!store_options_init(options))
		return false;
	while ((option = getopt_long(argc, argv, "s:t:p:jh", long_options,
				     NULL)) != -1) {
		if (!store_options_parse(options, option, optarg))
			return false;
	}
	return optind == argc && options->server.port != 0;
}

static int run(int argc, char **argv)
{
	struct status_run run = {.base = NULL};

	if (!parse_options(&run.options, argc, argv)) {
		print_usage(stderr);
		return EXIT_CODE_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	run.base = event_base_new();
	read_store(&run);
	return finish(&run);
}

const struct command status_command = {
	"status", "show which rules are in force on which nodes", run};
