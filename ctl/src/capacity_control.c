/* Control traffic of a node and load on the store, by number of nodes. */
#include "capacity_measures.h"

#include <fakes/config_fleet.h>
#include <fakes/flow_fleet.h>
#include <fakes/member_fleet.h>

#define SEED 1
#define ZONE_COUNT 5
#define MS_PER_S 1000
#define MEMBER_SETTLE_MS 20000
#define MEMBER_SETTLE_MS_PER_NODE 400
#define MEMBER_RUN_MS 20000
#define FLOWS_PER_NODE 2500
#define NEW_FLOWS_PER_S_PER_NODE 85
#define FLOW_BYTES_PER_S 3000
#define FLOW_WARM_UP_MS 20000
#define FLOW_RUN_MS 20000
#define CONFIG_WARM_UP_MS 20000
#define CONFIG_RUN_MS 60000
/* 8,640 changes per day, more than the 3,200 of the design size. */
#define CONFIG_CHANGE_INTERVAL_MS 10000
#define TARGET_COUNT 15

/*
 * Returns the membership bytes per second that a node sends and receives while
 * no node changes.
 */
double capacity_member_bytes_per_s(uint32_t node_count)
{
	struct member_fleet_options options = {
		.instance_count = node_count,
		.node_count = node_count,
		.zone_count = ZONE_COUNT,
		.seed = SEED,
		.link = {.delay_ms = 1, .jitter_ms = 1},
	};
	struct member_fleet *fleet = member_fleet_new(&options);
	int64_t start_ms = MEMBER_SETTLE_MS +
			   MEMBER_SETTLE_MS_PER_NODE * (int64_t)node_count;
	uint64_t bytes;

	driver_run_until(member_fleet_driver(fleet), start_ms);
	bytes = member_fleet_sent_bytes(fleet, 0) +
		member_fleet_received_bytes(fleet, 0);
	driver_run_until(member_fleet_driver(fleet), start_ms + MEMBER_RUN_MS);
	bytes = member_fleet_sent_bytes(fleet, 0) +
		member_fleet_received_bytes(fleet, 0) - bytes;
	member_fleet_free(fleet);
	return (double)bytes * MS_PER_S / MEMBER_RUN_MS;
}

/*
 * Returns the control bytes per second that a node sends for flows while a
 * target is added and a node joins. New flows come at the rate per node of the
 * design size.
 */
double capacity_flow_bytes_per_s(uint32_t node_count)
{
	struct flow_fleet_options options = {
		.node_count = node_count,
		.spare_count = 1,
		.zone_count = ZONE_COUNT,
		.target_count = TARGET_COUNT,
		.long_flow_count = FLOWS_PER_NODE * node_count,
		.new_flows_per_s = NEW_FLOWS_PER_S_PER_NODE * node_count,
		.control_bytes_per_s = FLOW_BYTES_PER_S,
		.update_delay_max_ms = MS_PER_S,
		.seed = SEED,
		.link = {.delay_ms = 1},
	};
	struct flow_fleet *fleet = flow_fleet_new(&options);
	uint64_t bytes;

	flow_fleet_run(fleet, FLOW_WARM_UP_MS);
	bytes = flow_fleet_control_bytes(fleet);
	flow_fleet_set_pool(fleet, 0, TARGET_COUNT + 1, 1);
	flow_fleet_publish_rules(fleet);
	flow_fleet_join(fleet, flow_fleet_next_spare(fleet));
	flow_fleet_run(fleet, FLOW_RUN_MS);
	bytes = flow_fleet_control_bytes(fleet) - bytes;
	flow_fleet_free(fleet);
	return (double)bytes / node_count * MS_PER_S / FLOW_RUN_MS;
}

/* Saves a new version of the rules every CONFIG_CHANGE_INTERVAL_MS. */
static void run_with_changes(struct config_fleet *fleet)
{
	for (uint32_t i = 0; i < CONFIG_RUN_MS / CONFIG_CHANGE_INTERVAL_MS;
	     i++) {
		char *file = g_strdup_printf(
			"order-desk address=10.0.0.1:80 protocol=http "
			"pool=10.1.0.1:8080,10.1.0.%u:8080 # asked by Lin\n",
			i + 2);

		config_fleet_save_rules(fleet, 0, file);
		config_fleet_run(fleet, CONFIG_CHANGE_INTERVAL_MS);
		g_free(file);
	}
}

/* Returns a region's store accesses and messages during CONFIG_RUN_MS. */
static struct config_fleet_result measure_config(uint32_t node_count)
{
	struct config_fleet_options options = {
		.node_count = node_count,
		.zone_count = ZONE_COUNT,
		.operator_count = 1,
		.seed = SEED,
	};
	struct config_fleet *fleet = config_fleet_new(&options);
	struct config_fleet_result before;
	struct config_fleet_result counts;

	config_fleet_run(fleet, CONFIG_WARM_UP_MS);
	before = config_fleet_results(fleet);
	run_with_changes(fleet);
	counts = config_fleet_results(fleet);
	counts.store_read_count -= before.store_read_count;
	counts.store_write_count -= before.store_write_count;
	counts.message_count -= before.message_count;
	counts.report_count -= before.report_count;
	config_fleet_free(fleet);
	return counts;
}

/* Returns the store reads per second of one region. */
double capacity_store_reads_per_s(uint32_t node_count)
{
	return (double)measure_config(node_count).store_read_count * MS_PER_S /
	       CONFIG_RUN_MS;
}

/* Returns the store writes per second of one region: rules and zone reports. */
double capacity_store_writes_per_s(uint32_t node_count)
{
	struct config_fleet_result counts = measure_config(node_count);

	return (double)(counts.store_write_count + counts.report_count) *
	       MS_PER_S / CONFIG_RUN_MS;
}

/* Returns the configuration messages per second that a node sends. */
double capacity_config_messages_per_s(uint32_t node_count)
{
	return (double)measure_config(node_count).message_count * MS_PER_S /
	       CONFIG_RUN_MS / node_count;
}
