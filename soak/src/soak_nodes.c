#include "soak_nodes.h"

#include "node_settings.h"
#include "ready_probe.h"
#include "soak_net.h"

#include <fakes/tcp_proxy.h>
#include <soak/soak_error.h>
#include <task/task.h>

/* In each direction; store calls still end within their timeout of 2 s. */
#define LINK_DELAY_MS 300
/* Much longer than a start takes, to allow for a loaded machine. */
#define READY_TIMEOUT_MS 15000
/* Longer than a node may take to exit after SIGTERM. */
#define STOP_TIMEOUT_MS 10000
/* From the start of a node until routers have found it ready and use it. */
#define IN_ROTATION_MS 2000
#define POLL_US 20000
/* Limits of a node: 64 MB by the capacity target, the others with a margin. */
#define MEMORY_MAX_KB (64 * 1024)
#define DESCRIPTOR_COUNT_MAX 256
#define THREAD_COUNT_MAX 16
/* Two values of a setting, so that each reload changes it. */
#define LOG_RATE_PER_S 500
#define LOG_RATE_RELOADED_PER_S 400

struct soak_node_slot {
	struct node_process *process;
	struct tcp_proxy *proxy;
	char *settings_path;
	uint32_t link_depths[SOAK_LINK_FAULT_COUNT];
	/* Disturbances that end when the next process starts. */
	uint32_t planned_depth;
	uint32_t unplanned_depth;
	/* Faults that keep the node stopped. */
	uint32_t stopping_fault_count;
	uint32_t reload_count;
	int64_t started_ms;
	bool is_over_limit;
};

struct soak_nodes {
	struct soak_nodes_options options;
	struct soak_node_slot *slots;
	struct process_usage peak;
};

static void post_node_event(struct soak_nodes *nodes,
			    enum soak_fleet_event_kind kind, uint32_t node,
			    bool is_planned, int64_t now_ms)
{
	struct soak_fleet_event fleet_event = {
		.kind = kind,
		.at_ms = now_ms,
		.subject = node,
		.is_planned = is_planned,
	};

	checker_task_post_fleet_event(nodes->options.checker, &fleet_event);
}

static void post_process_fault(struct soak_nodes *nodes, uint32_t node,
			       const char *text, int64_t now_ms)
{
	struct soak_fleet_event fleet_event = {
		.kind = SOAK_FLEET_EVENT_PROCESS_FAULT,
		.at_ms = now_ms,
		.subject = node,
	};

	g_snprintf(fleet_event.text, sizeof(fleet_event.text), "node %u: %s",
		   node, text);
	checker_task_post_fleet_event(nodes->options.checker, &fleet_event);
}

static bool start_node(struct soak_nodes *nodes, uint32_t node, GError **error)
{
	struct soak_node_slot *slot = &nodes->slots[node];
	const char *directory = nodes->options.directory;
	struct tcp_proxy_options proxy = {
		.listen = soak_net_endpoint(SOAK_NET_NODE_STORE, node),
		.server = soak_net_endpoint(SOAK_NET_STORE, 0),
	};
	char *log_path = g_strdup_printf("%s/node-%u.log", directory, node);

	slot->settings_path =
		g_strdup_printf("%s/node-%u.yaml", directory, node);
	slot->process = node_process_new(nodes->options.program,
					 slot->settings_path, log_path);
	g_free(log_path);
	slot->proxy = tcp_proxy_new(&proxy, error);
	return slot->proxy &&
	       node_settings_write(slot->settings_path, node,
				   nodes->options.node_count, LOG_RATE_PER_S,
				   error) &&
	       node_process_start(slot->process, error);
}

/*
 * Starts the nodes. Free them with soak_nodes_free. Fails with SOAK_ERROR,
 * TASK_ERROR or G_FILE_ERROR.
 */
struct soak_nodes *soak_nodes_new(const struct soak_nodes_options *options,
				  GError **error)
{
	struct soak_nodes *nodes = g_new0(struct soak_nodes, 1);

	nodes->options = *options;
	nodes->slots = g_new0(struct soak_node_slot, options->node_count);
	for (uint32_t i = 0; i < options->node_count; i++) {
		if (start_node(nodes, i, error))
			continue;
		soak_nodes_free(nodes);
		return NULL;
	}
	return nodes;
}

/* Kills the nodes that are still running and frees all; NULL is allowed. */
void soak_nodes_free(struct soak_nodes *nodes)
{
	if (!nodes)
		return;
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		node_process_free(nodes->slots[i].process);
		tcp_proxy_free(nodes->slots[i].proxy);
		g_free(nodes->slots[i].settings_path);
	}
	g_free(nodes->slots);
	g_free(nodes);
}

/* Waits until all nodes are ready. Fails with SOAK_ERROR_START. */
bool soak_nodes_wait_ready(const struct soak_nodes *nodes, GError **error)
{
	int64_t deadline_ms = task_now_ms() + READY_TIMEOUT_MS;

	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		struct endpoint admin =
			soak_net_endpoint(SOAK_NET_NODE_ADMIN, i);

		while (!ready_probe(&admin)) {
			if (task_now_ms() >= deadline_ms) {
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

static void restart_node(struct soak_nodes *nodes, uint32_t node,
			 int64_t now_ms)
{
	struct soak_node_slot *slot = &nodes->slots[node];
	GError *error = NULL;

	if (!node_process_start(slot->process, &error)) {
		post_process_fault(nodes, node, error->message, now_ms);
		g_error_free(error);
		return;
	}
	slot->started_ms = now_ms;
	post_node_event(nodes, SOAK_FLEET_EVENT_NODE_STARTED, node, true,
			now_ms);
	for (; slot->planned_depth > 0; slot->planned_depth--)
		post_node_event(nodes, SOAK_FLEET_EVENT_NODE_RESTORED, node,
				true, now_ms);
	for (; slot->unplanned_depth > 0; slot->unplanned_depth--)
		post_node_event(nodes, SOAK_FLEET_EVENT_NODE_RESTORED, node,
				false, now_ms);
}

static void handle_exit(struct soak_nodes *nodes, uint32_t node,
			enum process_status status, const char *text,
			int64_t now_ms)
{
	struct soak_node_slot *slot = &nodes->slots[node];

	if (status == PROCESS_DIED) {
		post_node_event(nodes, SOAK_FLEET_EVENT_NODE_DISTURBED, node,
				false, now_ms);
		slot->unplanned_depth++;
	}
	if (status == PROCESS_DIED || status == PROCESS_EXITED_UNCLEANLY)
		post_process_fault(nodes, node, text, now_ms);
}

/* Collects exited processes and restarts those that no fault keeps stopped. */
void soak_nodes_reap(struct soak_nodes *nodes, int64_t now_ms)
{
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		struct soak_node_slot *slot = &nodes->slots[i];
		char text[SOAK_FLEET_EVENT_TEXT_BYTES] = "";

		if (node_process_is_running(slot->process))
			handle_exit(nodes, i,
				    node_process_reap(slot->process, now_ms,
						      text, sizeof(text)),
				    text, now_ms);
		if (!node_process_is_running(slot->process) &&
		    slot->stopping_fault_count == 0)
			restart_node(nodes, i, now_ms);
	}
}

static void check_usage(struct soak_nodes *nodes, uint32_t node,
			const struct process_usage *usage, int64_t now_ms)
{
	struct soak_node_slot *slot = &nodes->slots[node];
	char text[SOAK_FLEET_EVENT_TEXT_BYTES];

	if (slot->is_over_limit ||
	    (usage->memory_kb <= MEMORY_MAX_KB &&
	     usage->descriptor_count <= DESCRIPTOR_COUNT_MAX &&
	     usage->thread_count <= THREAD_COUNT_MAX))
		return;
	slot->is_over_limit = true;
	g_snprintf(text, sizeof(text),
		   "over its limits: %u KB, %u descriptors, %u threads",
		   usage->memory_kb, usage->descriptor_count,
		   usage->thread_count);
	post_process_fault(nodes, node, text, now_ms);
}

/* Samples the resource usage of the processes and checks their limits. */
void soak_nodes_sample(struct soak_nodes *nodes, int64_t now_ms)
{
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		struct process_usage usage;
		struct process_usage *peak = &nodes->peak;

		if (!node_process_usage(nodes->slots[i].process, &usage))
			continue;
		peak->memory_kb = MAX(peak->memory_kb, usage.memory_kb);
		peak->descriptor_count =
			MAX(peak->descriptor_count, usage.descriptor_count);
		peak->thread_count =
			MAX(peak->thread_count, usage.thread_count);
		check_usage(nodes, i, &usage, now_ms);
	}
}

/* Kills a node and keeps it stopped until soak_nodes_allow_start. */
void soak_nodes_kill(struct soak_nodes *nodes, uint32_t node, int64_t now_ms)
{
	struct soak_node_slot *slot = &nodes->slots[node];

	post_node_event(nodes, SOAK_FLEET_EVENT_NODE_DISTURBED, node, false,
			now_ms);
	slot->unplanned_depth++;
	slot->stopping_fault_count++;
	node_process_kill(slot->process);
}

static bool is_serving(const struct soak_node_slot *slot, int64_t now_ms)
{
	return node_process_is_running(slot->process) &&
	       slot->planned_depth == 0 && slot->unplanned_depth == 0 &&
	       now_ms - slot->started_ms >= IN_ROTATION_MS;
}

/*
 * Returns whether at least half of the zone's nodes serve without this one.
 * With fewer, routers send to all nodes of the zone, ready or not.
 */
static bool can_zone_spare_node(const struct soak_nodes *nodes, uint32_t node,
				int64_t now_ms)
{
	uint32_t zone_node_count = 0;
	uint32_t serving_node_count = 0;

	for (uint32_t i = node % SOAK_ZONE_COUNT; i < nodes->options.node_count;
	     i += SOAK_ZONE_COUNT) {
		zone_node_count++;
		serving_node_count +=
			i != node && is_serving(&nodes->slots[i], now_ms);
	}
	return serving_node_count * 2 >= zone_node_count &&
	       serving_node_count > 0;
}

/*
 * Sends SIGTERM to a node and keeps it stopped until soak_nodes_allow_start.
 * This is a planned change if enough other nodes of the zone are serving.
 */
void soak_nodes_terminate(struct soak_nodes *nodes, uint32_t node,
			  int64_t now_ms)
{
	struct soak_node_slot *slot = &nodes->slots[node];
	bool is_planned = can_zone_spare_node(nodes, node, now_ms);

	post_node_event(nodes, SOAK_FLEET_EVENT_NODE_DISTURBED, node,
			is_planned, now_ms);
	if (is_planned)
		slot->planned_depth++;
	else
		slot->unplanned_depth++;
	slot->stopping_fault_count++;
	node_process_terminate(slot->process, now_ms);
}

/*
 * Undoes one kill or terminate. Once none is left and the process has exited,
 * soak_nodes_reap starts the node.
 */
void soak_nodes_allow_start(struct soak_nodes *nodes, uint32_t node)
{
	nodes->slots[node].stopping_fault_count--;
}

/* Pauses or resumes the process of a node. */
void soak_nodes_pause(struct soak_nodes *nodes, uint32_t node, bool is_paused,
		      int64_t now_ms)
{
	post_node_event(nodes,
			is_paused ? SOAK_FLEET_EVENT_NODE_DISTURBED
				  : SOAK_FLEET_EVENT_NODE_RESTORED,
			node, false, now_ms);
	node_process_pause(nodes->slots[node].process, is_paused);
}

/* Changes the settings of a node and makes it reload them. */
void soak_nodes_reload(struct soak_nodes *nodes, uint32_t node)
{
	struct soak_node_slot *slot = &nodes->slots[node];
	uint32_t rate_per_s = slot->reload_count++ % 2 == 0
				      ? LOG_RATE_RELOADED_PER_S
				      : LOG_RATE_PER_S;
	GError *error = NULL;

	if (!node_settings_write(slot->settings_path, node,
				 nodes->options.node_count, rate_per_s,
				 &error)) {
		g_printerr("soak: %s\n", error->message);
		g_error_free(error);
	}
	node_process_reload(slot->process);
}

/* Begins or ends a fault of a node's link to the store. */
void soak_nodes_set_link_fault(struct soak_nodes *nodes, uint32_t node,
			       enum soak_link_fault fault, bool is_begin,
			       int64_t now_ms)
{
	uint32_t *depths = nodes->slots[node].link_depths;
	struct tcp_proxy_fault proxy_fault;

	depths[fault] += is_begin ? 1 : -1;
	proxy_fault = (struct tcp_proxy_fault){
		.delay_ms = depths[SOAK_LINK_FAULT_DELAY] ? LINK_DELAY_MS : 0,
		.is_reset = depths[SOAK_LINK_FAULT_RESET] > 0,
		.is_cut_to_server = depths[SOAK_LINK_FAULT_CUT_TO_STORE] > 0,
		.is_cut_to_client = depths[SOAK_LINK_FAULT_CUT_FROM_STORE] > 0,
	};
	tcp_proxy_set_fault(nodes->slots[node].proxy, &proxy_fault);
	post_node_event(nodes,
			is_begin ? SOAK_FLEET_EVENT_NODE_DISTURBED
				 : SOAK_FLEET_EVENT_NODE_RESTORED,
			node, false, now_ms);
}

static bool is_any_running(const struct soak_nodes *nodes)
{
	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		if (node_process_is_running(nodes->slots[i].process))
			return true;
	}
	return false;
}

/* Sends SIGTERM to all nodes and waits for their exit. */
void soak_nodes_stop(struct soak_nodes *nodes)
{
	int64_t deadline_ms = task_now_ms() + STOP_TIMEOUT_MS;

	for (uint32_t i = 0; i < nodes->options.node_count; i++) {
		nodes->slots[i].stopping_fault_count++;
		node_process_terminate(nodes->slots[i].process, task_now_ms());
	}
	while (is_any_running(nodes) && task_now_ms() < deadline_ms) {
		soak_nodes_reap(nodes, task_now_ms());
		g_usleep(POLL_US);
	}
}

/* Returns the peak usage so far of each resource over all nodes. */
struct process_usage soak_nodes_peak(const struct soak_nodes *nodes)
{
	return nodes->peak;
}
