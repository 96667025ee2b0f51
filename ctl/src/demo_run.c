#include "demo_run.h"

#include "demo_drain.h"

#include <ctl/command.h>
#include <ctl/load_report.h>
#include <fakes/fake_fabric.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#define MS_PER_S 1000
#define US_PER_S 1000000
/* How long to wait for packets in transit after the traffic has ended. */
#define TRANSIT_MAX_MS 500
#define LOAD_RATE_PER_S 400
#define LOAD_TIMEOUT_MS 10000
#define LOAD_OPEN_LIMIT 1000
#define FLOW_COUNT 300
#define PACKET_INTERVAL_MS 100
#define PACKETS_PER_FLOW 50
#define SEED 1

/* The classes of requests that the demo sends, to two example services. */
static const struct load_class classes[] = {
	{"reserve", "order-desk", "/blocks/7/reserve", 2, false},
	{"availability", "order-desk", "/blocks/7", 3, true},
	{"photo", "catalogue", "/photos/7", 5, true},
};

/* The state of one demo; all of it runs in this process. */
struct demo {
	const struct demo_options *options;
	struct demo_targets *targets;
	struct demo_platform *platform;
	struct demo_drain drain;
	struct fake_fabric *fabric;
	struct load_task *load;
	struct load_options load_options;
};

/* The results of a run: of its flows, and of its requests by outcome. */
struct demo_result {
	struct fake_fabric_result flows;
	uint64_t outcome_counts[LOAD_OUTCOME_COUNT];
};

static bool start_fabric(struct demo *demo, GError **error)
{
	struct fake_fabric_options options = {
		.nodes = demo->options->packet_addresses,
		.node_count = demo->options->node_count,
		.services = demo_targets_service_addresses(demo->targets),
		.service_count = demo_targets_service_count(demo->targets),
		.target_count = demo_targets_count(demo->targets),
		.target_services = demo_targets_service_indexes(demo->targets),
		.flow_count = FLOW_COUNT,
		.packet_interval_ms = PACKET_INTERVAL_MS,
		.packets_per_flow = PACKETS_PER_FLOW,
		.seed = SEED,
	};

	demo->fabric = fake_fabric_new(&options, error);
	if (demo->fabric)
		demo_targets_set_fabric(demo->targets, demo->fabric);
	return demo->fabric != NULL;
}

static bool start_load(struct demo *demo, GError **error)
{
	demo->load_options = (struct load_options){
		.nodes = demo->options->request_addresses,
		.node_count = demo->options->node_count,
		.classes = classes,
		.class_count = G_N_ELEMENTS(classes),
		.rate_per_s = LOAD_RATE_PER_S,
		.duration_ms = demo->options->duration_s * MS_PER_S,
		.timeout_ms = LOAD_TIMEOUT_MS,
		.open_limit = LOAD_OPEN_LIMIT,
		.seed = SEED,
		.is_echo_checked = true,
	};

	demo->load = load_task_new(&demo->load_options, error);
	return demo->load != NULL;
}

static void print_progress(const struct demo *demo, uint32_t elapsed_s)
{
	printf("%3u s: %" PRIu64 " packets sent, %" PRIu64
	       " requests answered\n",
	       elapsed_s, fake_fabric_sent_count(demo->fabric),
	       load_task_done_count(demo->load));
	fflush(stdout);
}

static void print_curl_command(const struct demo *demo)
{
	char text[ENDPOINT_TEXT_BYTES];

	printf("try: curl -i -H 'Host: %s' http://%s%s\n", classes[1].host,
	       endpoint_format(&demo->options->request_addresses[0], text),
	       classes[1].path);
}

static void wait_for_traffic(struct demo *demo)
{
	for (uint32_t i = 1; i <= demo->options->duration_s; i++) {
		g_usleep(US_PER_S);
		print_progress(demo, i);
		if (i == demo->drain.start_s)
			demo_targets_print_imbalance(demo->targets,
						     demo->fabric);
		demo_drain_tick(&demo->drain, i);
	}
	load_task_join(demo->load);
}

static void collect_results(const struct demo *demo, struct demo_result *result)
{
	fake_fabric_finish(demo->fabric, TRANSIT_MAX_MS, &result->flows);
	for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
		result->outcome_counts[i] = load_report_outcome_count(
			demo->load, &demo->load_options, (enum load_outcome)i);
	load_report_print(demo->load, &demo->load_options, stdout);
}

static int report(const struct demo *demo, const struct demo_result *result)
{
	uint64_t wrong_count = result->outcome_counts[LOAD_WRONG_ECHO] +
			       result->outcome_counts[LOAD_INCOMPLETE] +
			       result->outcome_counts[LOAD_REJECTED];
	bool has_passed;

	for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
		printf("%s=%" PRIu64 " ",
		       load_outcome_name((enum load_outcome)i),
		       result->outcome_counts[i]);
	printf("\npackets: %" PRIu64 " sent, %" PRIu64 " arrived\n",
	       result->flows.sent_count, result->flows.arrived_count);
	printf("broken flows: %" PRIu64 " of %" PRIu64 "\n"
	       "wrong responses: %" PRIu64 "\n",
	       result->flows.broken_count, result->flows.flow_count,
	       wrong_count);
	has_passed = demo_drain_report(&demo->drain) && wrong_count == 0 &&
		     result->flows.broken_count == 0 &&
		     result->outcome_counts[LOAD_COMPLETE] > 0;
	return has_passed ? EXIT_CODE_DONE : EXIT_CODE_FAILED;
}

static bool start_platform(struct demo *demo, GError **error)
{
	demo->targets = demo_targets_new(demo->options->rules_path, error);
	if (!demo->targets)
		return false;
	demo->platform = demo_platform_new(demo->options, demo->targets, error);
	return demo->platform != NULL;
}

/* The script that starts the nodes sends a line once they have the rules. */
static void wait_for_input_line(void)
{
	printf("waiting for a line on standard input\n");
	fflush(stdout);
	while (getchar() > '\n')
		;
}

static bool start_traffic(struct demo *demo, GError **error)
{
	if (!start_fabric(demo, error) || !start_load(demo, error))
		return false;
	demo->drain = (struct demo_drain){
		.platform = demo->platform,
		.targets = demo->targets,
		.fabric = demo->fabric,
		.start_s = demo->options->duration_s / 2,
	};
	return true;
}

static bool start(struct demo *demo, GError **error)
{
	if (!start_platform(demo, error))
		return false;
	wait_for_input_line();
	return start_traffic(demo, error);
}

/* Runs the demo and returns the process's exit code. */
int demo_run(const struct demo_options *options)
{
	struct demo demo = {.options = options};
	struct demo_result result = {.flows = {.flow_count = 0}};
	GError *error = NULL;
	int code = EXIT_CODE_FAILED;

	if (start(&demo, &error)) {
		print_curl_command(&demo);
		wait_for_traffic(&demo);
		collect_results(&demo, &result);
		code = report(&demo, &result);
	} else {
		fprintf(stderr, "shallotctl: %s\n", error->message);
		g_error_free(error);
	}
	load_task_free(demo.load);
	demo_platform_free(demo.platform);
	demo_targets_free(demo.targets);
	fake_fabric_free(demo.fabric);
	return code;
}
