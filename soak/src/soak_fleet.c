#include "soak_fleet.h"

#include "soak_net.h"

#include <task/task.h>

/* Of hosts; several times the latency of a node on loopback. */
#define RESPONSE_DELAY_MS 10
/* Longer than the first retransmission timeout of callers. */
#define SLOW_RESPONSE_DELAY_MS 300

/*
 * Short flows last at most the drain timeout of a node, so that they can end
 * before a draining node exits, and send a request well within the drain of a
 * host, which closes each flow with its next response. The pauses of long flows
 * still lie within that drain. Those of silent flows are longer than the pauses
 * of processes; their hosts may stop meanwhile.
 */
static const struct caller_flow_kind flow_kinds[] = {
	{.weight = 12,
	 .mean_lifetime_ms = 2500,
	 .pause_min_ms = 250,
	 .pause_max_ms = 250},
	{.weight = 3,
	 .mean_lifetime_ms = 10000,
	 .pause_min_ms = 200,
	 .pause_max_ms = 4000},
	{.weight = 1,
	 .mean_lifetime_ms = 15000,
	 .pause_min_ms = 4000,
	 .pause_max_ms = 10000},
};

static uint32_t total_node_count(const struct soak_fleet *fleet)
{
	return fleet->options.node_count +
	       (fleet->options.deliberate_fault ? 1 : 0);
}

static void list_nodes(struct soak_fleet *fleet)
{
	uint32_t count = total_node_count(fleet);

	fleet->node_addresses = g_new0(struct endpoint, count);
	fleet->caller_nodes = g_new0(struct caller_node, count);
	for (uint32_t i = 0; i < count; i++) {
		bool is_real = i < fleet->options.node_count;

		fleet->node_addresses[i] =
			soak_net_endpoint(SOAK_NET_NODE_PACKETS, i);
		fleet->caller_nodes[i] = (struct caller_node){
			.packets = fleet->node_addresses[i],
			.zone = node_settings_zone(i),
		};
		if (is_real)
			fleet->caller_nodes[i].admin =
				soak_net_endpoint(SOAK_NET_NODE_ADMIN, i);
	}
}

static bool start_checker(struct soak_fleet *fleet, GError **error)
{
	struct soak_checker_options options = {
		.nodes = fleet->node_addresses,
		.node_count = total_node_count(fleet),
		.start_ms = task_now_ms(),
	};

	fleet->checker = checker_task_new(&options, error);
	return fleet->checker != NULL;
}

static bool start_faulty_node(struct soak_fleet *fleet, GError **error)
{
	struct faulty_node_options options = {
		.listen = soak_net_endpoint(SOAK_NET_NODE_PACKETS,
					    fleet->options.node_count),
		.caller_port = soak_net_endpoint(SOAK_NET_CALLER, 0).port,
	};

	if (!fleet->options.deliberate_fault)
		return true;
	options.fault = fleet->options.deliberate_fault->node_fault;
	fleet->faulty_node = faulty_node_new(&options, error);
	return fleet->faulty_node != NULL;
}

static bool start_store(struct soak_fleet *fleet, GError **error)
{
	struct soak_routes_options routes = {
		.service_count = fleet->options.service_count,
		.checker = fleet->checker,
		.faulty_node = fleet->faulty_node,
	};

	fleet->store = soak_store_new(fleet->checker, error);
	if (!fleet->store)
		return false;
	routes.kv = soak_store_kv(fleet->store);
	fleet->routes = soak_routes_new(&routes);
	return true;
}

static bool start_hosts(struct soak_fleet *fleet, GError **error)
{
	const struct soak_deliberate_fault *deliberate_fault =
		fleet->options.deliberate_fault;
	bool is_duplicating = deliberate_fault &&
			      deliberate_fault->are_hosts_executing_duplicates;
	struct soak_hosts_options options = {
		.service_count = fleet->options.service_count,
		.hosts_per_service = fleet->options.hosts_per_service,
		.response_delay_ms = is_duplicating ? SLOW_RESPONSE_DELAY_MS
						    : RESPONSE_DELAY_MS,
		.is_executing_duplicates = is_duplicating,
		.kv = soak_store_kv(fleet->store),
		.checker = fleet->checker,
		.timers = fleet->timers,
		.faulty_node = fleet->faulty_node,
	};

	fleet->hosts = soak_hosts_new(&options, error);
	return fleet->hosts != NULL;
}

static void add_evacuations(struct soak_fleet *fleet)
{
	struct soak_evacuations_options options = {
		.kv = soak_store_kv(fleet->store),
		.hosts = fleet->hosts,
		.checker = fleet->checker,
		.timers = fleet->timers,
		.faulty_node = fleet->faulty_node,
	};

	fleet->evacuations = soak_evacuations_new(&options);
}

static bool start_nodes(struct soak_fleet *fleet, GError **error)
{
	struct soak_nodes_options options = {
		.program = fleet->options.program,
		.directory = fleet->options.directory,
		.node_count = fleet->options.node_count,
		.checker = fleet->checker,
	};

	fleet->nodes = soak_nodes_new(&options, error);
	return fleet->nodes && soak_nodes_wait_ready(fleet->nodes, error);
}

/*
 * Starts everything but the callers, and waits until the nodes are ready. Free
 * the fleet with soak_fleet_free. Fails with SOAK_ERROR, TASK_ERROR or
 * G_FILE_ERROR.
 */
struct soak_fleet *soak_fleet_new(const struct soak_options *options,
				  GError **error)
{
	struct soak_fleet *fleet = g_new0(struct soak_fleet, 1);

	fleet->options = *options;
	fleet->timers = soak_timers_new();
	fleet->loss_depths = g_new0(uint32_t, options->node_count);
	list_nodes(fleet);
	if (start_checker(fleet, error) && start_faulty_node(fleet, error) &&
	    start_store(fleet, error) && start_hosts(fleet, error) &&
	    start_nodes(fleet, error)) {
		add_evacuations(fleet);
		return fleet;
	}
	soak_fleet_free(fleet);
	return NULL;
}

/* Stops everything that is still running and frees it; NULL is allowed. */
void soak_fleet_free(struct soak_fleet *fleet)
{
	if (!fleet)
		return;
	for (uint32_t i = 0; i < SOAK_CALLER_COUNT; i++)
		fake_caller_free(fleet->callers[i]);
	soak_nodes_free(fleet->nodes);
	soak_evacuations_free(fleet->evacuations);
	soak_hosts_free(fleet->hosts);
	soak_routes_free(fleet->routes);
	soak_store_free(fleet->store);
	faulty_node_free(fleet->faulty_node);
	checker_task_free(fleet->checker);
	soak_timers_free(fleet->timers);
	g_free(fleet->node_addresses);
	g_free(fleet->caller_nodes);
	g_free(fleet->loss_depths);
	g_free(fleet);
}

static bool start_caller(struct soak_fleet *fleet, uint32_t index,
			 GError **error)
{
	struct fake_caller_options options = {
		.zone = node_settings_zone(index),
		.listen = soak_net_endpoint(SOAK_NET_CALLER, index),
		.nodes = fleet->caller_nodes,
		.node_count = total_node_count(fleet),
		.flows_per_s = fleet->options.flows_per_s / SOAK_CALLER_COUNT,
		.flow_kinds = flow_kinds,
		.flow_kind_count = G_N_ELEMENTS(flow_kinds),
		.is_consistent_hash = fleet->options.is_consistent_hash,
		.seed = fleet->options.seed * SOAK_CALLER_COUNT + index,
		.observer = {fleet->checker, checker_task_post_flow_event},
	};

	fleet->callers[index] = fake_caller_new(&options, error);
	return fleet->callers[index] != NULL;
}

/* Starts a caller per zone, which uses the routes. Fails with TASK_ERROR. */
bool soak_fleet_start_callers(struct soak_fleet *fleet, GError **error)
{
	for (uint32_t i = 0; i < SOAK_CALLER_COUNT; i++) {
		if (!start_caller(fleet, i, error))
			return false;
	}
	soak_routes_start_callers(fleet->routes, fleet->callers,
				  SOAK_CALLER_COUNT);
	return true;
}

/* Makes the callers close their flows and open no new ones. */
void soak_fleet_finish_callers(struct soak_fleet *fleet)
{
	for (uint32_t i = 0; i < SOAK_CALLER_COUNT; i++)
		fake_caller_finish(fleet->callers[i]);
}
