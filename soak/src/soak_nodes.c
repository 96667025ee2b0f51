#include "soak_nodes.h"

#include "node_settings.h"
#include "ready_probe.h"
#include "soak_net.h"

#include <fakes/tcp_proxy.h>
#include <soak/soak_error.h>
#include <task/task.h>

/* Each way: a call still ends within the 2 s that nodes wait for one. */
/* Each way: a call still ends within the 2 s that nodes wait for one. */
#define LINK_DELAY_MS 300
/* Many times what a start takes, for a busy machine. */
#define READY_TIMEOUT_MS 15000
/* More than a node may take to end, after which it is a fault. */
#define STOP_TIMEOUT_MS 10000
/* From a node's start until routers have asked it and use it. */
#define IN_ROTATION_MS 2000
#define POLL_US 20000
/* What a node may use: the target's 64 MB, and a margin over what it needs. */
#define MEMORY_MAX_KB (64 * 1024)
#define DESCRIPTOR_COUNT_MAX 256
#define THREAD_COUNT_MAX 16
/* Two settings that differ, so that a reload finds a change. */
#define LOG_RATE_PER_S 500
#define LOG_RATE_RELOADED_PER_S 400

struct soak_seat {
	struct node_process *process;
	struct tcp_proxy *proxy;
	char *settings_path;
	uint32_t link_depths[SOAK_LINK_FAULT_COUNT];
	/* Disturbances that end with the next process. */
	uint32_t planned_depth;
	uint32_t unplanned_depth;
	uint32_t unwanted_depth;
	uint32_t reload_count;
	int64_t started_ms;
	bool is_over_limit;
};

struct soak_nodes {
	struct soak_nodes_options options;
	struct soak_seat *seats;
	struct process_usage peak;
};

static void tell(struct soak_nodes *nodes, enum soak_fact_kind kind,
		 uint32_t node, bool is_planned, int64_t now_ms)
{
	struct soak_fact fact = {
		.kind = kind,
		.at_ms = now_ms,
		.subject = node,
		.is_planned = is_planned,
	};

	judge_task_fact(nodes->options.judge, &fact);
}

static void tell_fault(struct soak_nodes *nodes, uint32_t node,
		       const char *text, int64_t now_ms)
{
	struct soak_fact fact = {
		.kind = SOAK_PROCESS_FAULT,
		.at_ms = now_ms,
		.subject = node,
	};

	g_snprintf(fact.text, sizeof(fact.text), "node %u: %s", node, text);
	judge_task_fact(nodes->options.judge, &fact);
}

static bool open_seat(struct soak_nodes *nodes, uint32_t node, GError **error)
{
	struct soak_seat *seat = &nodes->seats[node];
	const char *directory = nodes->options.directory;
	struct tcp_proxy_options proxy = {
		.listen = soak_net_endpoint(SOAK_NET_NODE_STORE, node),
		.server = soak_net_endpoint(SOAK_NET_STORE, 0),
	};
	char *log_path = g_strdup_printf("%s/node-%u.log", directory, node);

	seat->settings_path =
		g_strdup_printf("%s/node-%u.yaml", directory, node);
	seat->process = node_process_new(nodes->options.program,
					 seat->settings_path, log_path);
	g_free(log_path);
	seat->proxy = tcp_proxy_new(&proxy, error);
	return seat->proxy &&
	       node_settings_write(seat->settings_path, node,
				   nodes->options.node_count, LOG_RATE_PER_S,
				   error) &&
	       node_process_start(seat->process, error);
}

/*
 * Starts the nodes. The caller frees them with soak_nodes_free. Fails with
 * SOAK_ERROR, TASK_ERROR or a file error.
 */
struct soak_nodes *soak_nodes_new(const struct soak_nodes_options *options,
				  GError **error)
{
	struct soak_nodes *nodes = g_new0(struct soak_nodes, 1);

	nodes->options = *options;
	nodes->seats = g_new0(struct soak_seat, options->node_count);
	for (uint32_t i = 0; i < options->node_count; i++) {
		if (open_seat(nodes, i, error))
			continue;
		soak_nodes_free(nodes);
		return NULL;
	}
	return nodes;
}

/* Ends the nodes that still run; NULL is allowed. */
void soak_nodes_free(struct soak_nodes *nodes)
{
	if (!nodes)
		return;
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		node_process_free(nodes->seats[i].process);
		tcp_proxy_free(nodes->seats[i].proxy);
		g_free(nodes->seats[i].settings_path);
	}
	g_free(nodes->seats);
	g_free(nodes);
}

/* Waits until all nodes are ready. Fails with SOAK_ERROR_START. */
bool soak_nodes_wait_ready(const struct soak_nodes *nodes, GError **error)
{
	int64_t end_ms = task_now_ms() + READY_TIMEOUT_MS;

	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		struct endpoint admin =
			soak_net_endpoint(SOAK_NET_NODE_ADMIN, i);

		while (!ready_probe(&admin)) {
			if (task_now_ms() >= end_ms) {
				g_set_error(error, SOAK_ERROR, SOAK_ERROR_START,
					    "node %u is not ready after %d ms",
					    i, READY_TIMEOUT_MS);
				return false;
			}
			g_usleep(POLL_US);
		}
	}
	return true;
}

static void restart(struct soak_nodes *nodes, uint32_t node, int64_t now_ms)
{
	struct soak_seat *seat = &nodes->seats[node];
	GError *error = NULL;

	if (!node_process_start(seat->process, &error)) {
		tell_fault(nodes, node, error->message, now_ms);
		g_error_free(error);
		return;
	}
	seat->started_ms = now_ms;
	tell(nodes, SOAK_NODE_STARTED, node, true, now_ms);
	for (; seat->planned_depth > 0; seat->planned_depth--)
		tell(nodes, SOAK_NODE_CALM, node, true, now_ms);
	for (; seat->unplanned_depth > 0; seat->unplanned_depth--)
		tell(nodes, SOAK_NODE_CALM, node, false, now_ms);
}

static void note_end(struct soak_nodes *nodes, uint32_t node,
		     enum process_end end, const char *text, int64_t now_ms)
{
	struct soak_seat *seat = &nodes->seats[node];

	if (end == PROCESS_DIED) {
		tell(nodes, SOAK_NODE_DISTURBED, node, false, now_ms);
		seat->unplanned_depth++;
	}
	if (end == PROCESS_DIED || end == PROCESS_ENDED_BADLY)
		tell_fault(nodes, node, text, now_ms);
}

/* Sees which processes have ended, and starts anew those that are wanted. */
void soak_nodes_reap(struct soak_nodes *nodes, int64_t now_ms)
{
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		struct soak_seat *seat = &nodes->seats[i];
		char text[SOAK_FACT_TEXT_BYTES] = "";

		if (node_process_is_running(seat->process))
			note_end(nodes, i,
				 node_process_reap(seat->process, now_ms, text,
						   sizeof(text)),
				 text, now_ms);
		if (!node_process_is_running(seat->process) &&
		    seat->unwanted_depth == 0)
			restart(nodes, i, now_ms);
	}
}

static void check_usage(struct soak_nodes *nodes, uint32_t node,
			const struct process_usage *usage, int64_t now_ms)
{
	struct soak_seat *seat = &nodes->seats[node];
	char text[SOAK_FACT_TEXT_BYTES];

	if (seat->is_over_limit ||
	    (usage->memory_kb <= MEMORY_MAX_KB &&
	     usage->descriptor_count <= DESCRIPTOR_COUNT_MAX &&
	     usage->thread_count <= THREAD_COUNT_MAX))
		return;
	seat->is_over_limit = true;
	g_snprintf(text, sizeof(text), "uses %u KB, %u descriptors, %u threads",
		   usage->memory_kb, usage->descriptor_count,
		   usage->thread_count);
	tell_fault(nodes, node, text, now_ms);
}

/* Looks at what the processes use. */
void soak_nodes_sample(struct soak_nodes *nodes, int64_t now_ms)
{
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		struct process_usage usage;
		struct process_usage *peak = &nodes->peak;

		if (!node_process_usage(nodes->seats[i].process, &usage))
			continue;
		peak->memory_kb = MAX(peak->memory_kb, usage.memory_kb);
		peak->descriptor_count =
			MAX(peak->descriptor_count, usage.descriptor_count);
		peak->thread_count =
			MAX(peak->thread_count, usage.thread_count);
		check_usage(nodes, i, &usage, now_ms);
	}
}

/* Kills a node, which is not started before soak_nodes_want. */
void soak_nodes_kill(struct soak_nodes *nodes, uint32_t node, int64_t now_ms)
{
	struct soak_seat *seat = &nodes->seats[node];

	tell(nodes, SOAK_NODE_DISTURBED, node, false, now_ms);
	seat->unplanned_depth++;
	seat->unwanted_depth++;
	node_process_kill(seat->process);
}

static bool is_serving(const struct soak_seat *seat, int64_t now_ms)
{
	return node_process_is_running(seat->process) &&
	       seat->planned_depth == 0 && seat->unplanned_depth == 0 &&
	       now_ms - seat->started_ms >= IN_ROTATION_MS;
}

/* Routers use all nodes of a zone again when fewer than half are ready. */
static bool is_half_left(const struct soak_nodes *nodes, uint32_t node,
			 int64_t now_ms)
{
	uint32_t all_count = 0;
	uint32_t left_count = 0;

	for (uint32_t i = node % SOAK_ZONE_COUNT; i < nodes->options.node_count;
	     i += SOAK_ZONE_COUNT) {
		all_count++;
		left_count += i != node && is_serving(&nodes->seats[i], now_ms);
	}
	return left_count * 2 >= all_count && left_count > 0;
}

/*
 * Asks a node to end. That is planned work where the zone's other nodes can
 * carry on. The node is not started before soak_nodes_want.
 */
void soak_nodes_terminate(struct soak_nodes *nodes, uint32_t node,
			  int64_t now_ms)
{
	struct soak_seat *seat = &nodes->seats[node];
	bool is_planned = is_half_left(nodes, node, now_ms);

	tell(nodes, SOAK_NODE_DISTURBED, node, is_planned, now_ms);
	if (is_planned)
		seat->planned_depth++;
	else
		seat->unplanned_depth++;
	seat->unwanted_depth++;
	node_process_terminate(seat->process, now_ms);
}

/* Ends one want of a node's absence; it starts when it has ended. */
void soak_nodes_want(struct soak_nodes *nodes, uint32_t node)
{
	nodes->seats[node].unwanted_depth--;
}

/* Stops a node's process, or lets it go on. */
void soak_nodes_pause(struct soak_nodes *nodes, uint32_t node, bool is_paused,
		      int64_t now_ms)
{
	tell(nodes, is_paused ? SOAK_NODE_DISTURBED : SOAK_NODE_CALM, node,
	     false, now_ms);
	node_process_pause(nodes->seats[node].process, is_paused);
}

/* Changes a node's settings and has it read them. */
void soak_nodes_reload(struct soak_nodes *nodes, uint32_t node)
{
	struct soak_seat *seat = &nodes->seats[node];
	uint32_t rate_per_s = seat->reload_count++ % 2 == 0
				      ? LOG_RATE_RELOADED_PER_S
				      : LOG_RATE_PER_S;
	GError *error = NULL;

	if (!node_settings_write(seat->settings_path, node,
				 nodes->options.node_count, rate_per_s,
				 &error)) {
		g_printerr("soak: %s\n", error->message);
		g_error_free(error);
	}
	node_process_reload(seat->process);
}

/* Begins or ends a fault of a node's way to the store. */
void soak_nodes_link(struct soak_nodes *nodes, uint32_t node,
		     enum soak_link_fault fault, bool is_begin, int64_t now_ms)
{
	uint32_t *depths = nodes->seats[node].link_depths;
	struct tcp_proxy_fault shown;

	depths[fault] += is_begin ? 1 : -1;
	shown = (struct tcp_proxy_fault){
		.delay_ms = depths[SOAK_LINK_FAULT_DELAY] ? LINK_DELAY_MS : 0,
		.is_reset = depths[SOAK_LINK_FAULT_RESET] > 0,
		.is_cut_to_server = depths[SOAK_LINK_FAULT_CUT_TO_STORE] > 0,
		.is_cut_to_client = depths[SOAK_LINK_FAULT_CUT_FROM_STORE] > 0,
	};
	tcp_proxy_set_fault(nodes->seats[node].proxy, &shown);
	tell(nodes, is_begin ? SOAK_NODE_DISTURBED : SOAK_NODE_CALM, node,
	     false, now_ms);
}

static bool is_any_running(const struct soak_nodes *nodes)
{
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		if (node_process_is_running(nodes->seats[i].process))
			return true;
	}
	return false;
}

/* Asks all nodes to end and waits for them. */
void soak_nodes_stop(struct soak_nodes *nodes)
{
	int64_t end_ms = task_now_ms() + STOP_TIMEOUT_MS;

	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		nodes->seats[i].unwanted_depth++;
		node_process_terminate(nodes->seats[i].process, task_now_ms());
	}
	while (is_any_running(nodes) && task_now_ms() < end_ms) {
		soak_nodes_reap(nodes, task_now_ms());
		g_usleep(POLL_US);
	}
}

/* Returns the largest uses that were seen of any node. */
struct process_usage soak_nodes_peak(const struct soak_nodes *nodes)
{
	return nodes->peak;
}
