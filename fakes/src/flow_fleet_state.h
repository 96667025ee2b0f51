#ifndef FAKES_FLOW_FLEET_STATE_H
#define FAKES_FLOW_FLEET_STATE_H

#include <fakes/flow_fleet.h>

#define STEP_MS 100
#define WHEEL_SLOT_COUNT 512
/* Targets have numbers from 0, which are the last bytes of their addresses. */
#define TARGET_NUMBER_COUNT 512
#define ZONE_COUNT_MAX 8
#define RATE_WINDOW_S 10
#define TARGET_SLOT_COUNT 3
#define SECOND_SERVICE_TARGET_FIRST 256
#define SECOND_SERVICE_TARGET_COUNT 4

/*
 * One simulated flow. It is placed once its first packet has reached a target.
 * drop_count counts packets dropped in succession.
 */
struct flow_fleet_flow {
	uint32_t number;
	uint16_t target_number;
	uint8_t service;
	uint8_t drop_count;
	bool is_open;
	bool is_placed;
	bool is_broken;
	uint64_t target_id;
	int64_t end_ms;
	uint32_t interval_ms;
};

/* One simulated node: its flow director and the state of the simulation. */
struct flow_fleet_node {
	struct flow_fleet *fleet;
	uint32_t index;
	struct flow_director *director;
	/* The rules in force, which the hash-only baseline uses. */
	struct rule_set *rules;
	uint64_t view_version;
	bool is_running;
	/* The fabric sends packets to this node. */
	bool is_receiving;
	bool is_paused;
	bool is_joining;
	bool is_leaving;
	/* Total sent bytes at each second of the last window. */
	uint64_t window_bytes[RATE_WINDOW_S];
	double peak_bytes_per_s;
};

struct flow_fleet {
	struct flow_fleet_options options;
	struct driver *driver;
	uint32_t node_count;
	struct flow_fleet_node *nodes;
	/* The actual state of each node, from which the views are made. */
	struct node *members;
	uint64_t view_version;
	uint64_t revision;
	/* Generation of the rule of each service. */
	uint64_t generations[FLOW_FLEET_SERVICE_COUNT];
	uint32_t pool_first;
	uint32_t pool_count;
	uint32_t first_target_weight;
	uint32_t form;
	uint32_t next_spare;
	/* Rolling replacement: indices of the old node and its successor. */
	bool is_replacing;
	uint32_t replaced_index;
	uint32_t successor_index;
	/* Target numbers, TARGET_NUMBER_COUNT if there is none. */
	uint32_t removed_target;
	uint32_t moved_target;
	/* Service of each target in the last published rules, plus 1; or 0. */
	uint8_t owner_services[TARGET_NUMBER_COUNT];
	int64_t leaving_since_ms[TARGET_NUMBER_COUNT];
	bool is_zone_cut[ZONE_COUNT_MAX];
	uint32_t zone_of_target[TARGET_NUMBER_COUNT];
	GArray *flows;
	GArray *free_flows;
	/* Timing wheel: indices of the flows that send in each step. */
	GArray *wheel[WHEEL_SLOT_COUNT];
	int64_t now_ms;
	uint32_t next_number;
	uint32_t open_long_count;
	uint32_t flow_counts[TARGET_NUMBER_COUNT];
	struct flow_fleet_counts counts;
};

bool flow_fleet_can_reach(const struct flow_fleet *fleet, uint32_t zone_a,
			  uint32_t zone_b);
uint32_t flow_fleet_zone(const struct flow_fleet *fleet, uint32_t node);
struct endpoint flow_fleet_service_address(uint32_t service);
void flow_fleet_traffic_step(struct flow_fleet *fleet);
void flow_fleet_traffic_init(struct flow_fleet *fleet);
void flow_fleet_traffic_free(struct flow_fleet *fleet);
void flow_fleet_replace_step(struct flow_fleet *fleet);
void flow_fleet_publish_views(struct flow_fleet *fleet);
struct target flow_fleet_target_of(const struct flow_fleet *fleet,
				   uint32_t service, uint32_t number);
struct rule_set *flow_fleet_rules(struct flow_fleet *fleet);
void *flow_fleet_copy_message(const void *message);

#endif
