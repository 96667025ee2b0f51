#ifndef FAKES_FLOW_FLEET_H
#define FAKES_FLOW_FLEET_H

#include <core/flow_director.h>
#include <fakes/driver.h>

#define FLEET_SERVICE_COUNT 2

/*
 * Several flow directors behind a spraying fabric, under the driver's virtual
 * clock: it opens flows, sends their packets to any node, and counts where
 * they arrive. It models no machine and no network.
 */
struct flow_fleet;

struct flow_fleet_options {
	uint32_t node_count;
	/* Instances that are there for later joins. */
	uint32_t spare_count;
	uint32_t zone_count;
	uint32_t target_count;
	uint32_t long_flow_count;
	uint32_t new_flows_per_s;
	uint32_t control_bytes_per_s;
	/* How unevenly views, rules and target states spread. */
	uint32_t spread_ms;
	uint64_t seed;
	struct driver_link link;
	/* Every packet comes twice, over two nodes. */
	bool is_doubling;
	/* The baseline: every node places each packet by hash alone. */
	bool is_hash_only;
};

/* What was counted since the start. */
struct flow_fleet_counts {
	uint64_t packet_count;
	uint64_t forward_count;
	uint64_t opened_count;
	uint64_t refused_count;
	uint64_t drop_count;
	uint64_t broken_count;
	/* Of those, flows whose packets reached another target. */
	uint64_t moved_count;
	uint64_t wrong_service_count;
	uint64_t leaving_count;
	/* Copies of a packet that went to another target. */
	uint64_t split_count;
	uint64_t reasons[REASON_COUNT];
};

struct flow_fleet *flow_fleet_new(const struct flow_fleet_options *options);
void flow_fleet_free(struct flow_fleet *fleet);
struct flow_fleet_counts flow_fleet_counts(const struct flow_fleet *fleet);
struct driver *flow_fleet_driver(struct flow_fleet *fleet);
int64_t flow_fleet_now_ms(const struct flow_fleet *fleet);
void flow_fleet_run(struct flow_fleet *fleet, uint32_t duration_ms);

void flow_fleet_pool(struct flow_fleet *fleet, uint32_t first, uint32_t count,
		     uint32_t weight_of_first);
void flow_fleet_set_form(struct flow_fleet *fleet, uint32_t form);
void flow_fleet_remove_target(struct flow_fleet *fleet, uint32_t number);
void flow_fleet_move_target(struct flow_fleet *fleet, uint32_t number);
void flow_fleet_publish(struct flow_fleet *fleet);
void flow_fleet_set_spread(struct flow_fleet *fleet, uint32_t spread_ms);
void flow_fleet_target(struct flow_fleet *fleet, uint32_t number,
		       enum target_state state);
void flow_fleet_join(struct flow_fleet *fleet, uint32_t node);
void flow_fleet_leave(struct flow_fleet *fleet, uint32_t node);
void flow_fleet_replace_all(struct flow_fleet *fleet);
bool flow_fleet_is_replacing(const struct flow_fleet *fleet);
uint32_t flow_fleet_next_spare(struct flow_fleet *fleet);
uint32_t flow_fleet_target_count(const struct flow_fleet *fleet);
bool flow_fleet_is_serving(const struct flow_fleet *fleet, uint32_t node);
bool flow_fleet_is_stopped(const struct flow_fleet *fleet, uint32_t node);
void flow_fleet_kill(struct flow_fleet *fleet, uint32_t node);
void flow_fleet_pause(struct flow_fleet *fleet, uint32_t node, bool is_paused);
void flow_fleet_cut_zone(struct flow_fleet *fleet, uint32_t zone, bool is_cut);
double flow_fleet_imbalance(const struct flow_fleet *fleet);
uint32_t flow_fleet_flow_count(const struct flow_fleet *fleet);
double flow_fleet_control_bytes_per_s(const struct flow_fleet *fleet);
uint64_t flow_fleet_control_bytes(const struct flow_fleet *fleet);

#endif
