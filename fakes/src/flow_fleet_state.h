#ifndef FAKES_FLOW_FLEET_STATE_H
#define FAKES_FLOW_FLEET_STATE_H

#include <fakes/flow_fleet.h>

#define STEP_MS 100
#define WHEEL_STEPS 512
#define TARGET_NUMBERS 512
#define WINDOW_S 10
#define SERVICE_1_FIRST 256
#define SERVICE_1_COUNT 4

/* One open flow as its caller sees it. */
struct fleet_flow {
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

/* One node: its director, and what the fleet does to it. */
struct fleet_node {
	struct flow_fleet *fleet;
	uint32_t index;
	struct flow_director *director;
	/* What the hash-only baseline goes by. */
	struct rule_set *rules;
	uint64_t view_version;
	bool is_running;
	bool is_sprayed;
	bool is_paused;
	bool is_joining;
	bool is_leaving;
	uint64_t bytes_at[WINDOW_S];
	double peak_bytes_per_s;
};

struct flow_fleet {
	struct flow_fleet_options options;
	struct driver *driver;
	uint32_t node_count;
	struct fleet_node *nodes;
	struct node *truth;
	uint64_t view_version;
	uint64_t revision;
	uint64_t generations[FLEET_SERVICE_COUNT];
	uint32_t pool_first;
	uint32_t pool_count;
	uint32_t weight_of_first;
	uint32_t form;
	uint32_t next_spare;
	/* Of a rolling replacement: the node to go, and who comes for it. */
	bool is_replacing;
	uint32_t replaced;
	uint32_t successor;
	uint32_t removed_number;
	uint32_t moved_number;
	/* Service of each target number as published last, plus one. */
	uint8_t owners[TARGET_NUMBERS];
	int64_t leaving_since_ms[TARGET_NUMBERS];
	bool is_zone_cut[8];
	uint32_t zone_of_target[TARGET_NUMBERS];
	GArray *flows;
	GArray *free_flows;
	GArray *wheel[WHEEL_STEPS];
	int64_t step_ms;
	uint32_t next_number;
	uint32_t open_long_count;
	uint32_t flow_counts[TARGET_NUMBERS];
	struct flow_fleet_counts counts;
};

bool fleet_reaches(const struct flow_fleet *fleet, uint32_t zone_a,
		   uint32_t zone_b);
uint32_t fleet_zone(const struct flow_fleet *fleet, uint32_t node);
struct endpoint fleet_service_address(uint32_t service);
void fleet_traffic_step(struct flow_fleet *fleet);
void fleet_traffic_init(struct flow_fleet *fleet);
void fleet_traffic_free(struct flow_fleet *fleet);
void fleet_replace_step(struct flow_fleet *fleet);
void fleet_spread_views(struct flow_fleet *fleet);
void *fleet_copy_message(const void *message);

#endif
