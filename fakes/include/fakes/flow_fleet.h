#ifndef FAKES_FLOW_FLEET_H
#define FAKES_FLOW_FLEET_H

#include <core/flow_director.h>
#include <fakes/driver.h>

#define FLOW_FLEET_SERVICE_COUNT 2

/*
 * Simulates the flow directors of several nodes on the driver's virtual clock.
 * The simulation opens flows, sends each of their packets to a random node, as
 * a fabric that sprays packets does, and counts the targets that they reach.
 * Hosts and the network between them are not modelled.
 */
struct flow_fleet;

struct flow_fleet_options {
	uint32_t node_count;
	/* Nodes that do not run at the start and may join later. */
	uint32_t spare_count;
	uint32_t zone_count;
	uint32_t target_count;
	uint32_t long_flow_count;
	uint32_t new_flows_per_s;
	uint32_t control_bytes_per_s;
	/*
	 * Each node receives each update of the view, the rules or a target's
	 * state after a random delay below this limit.
	 */
	uint32_t update_delay_max_ms;
	uint64_t seed;
	struct driver_link link;
	/* Every packet is sent twice, each copy to a random node. */
	bool is_duplicating;
	/* Baseline for comparison: nodes place each packet by hash alone. */
	bool is_hash_only;
};

/*
 * Counts since the start. A packet is forwarded from one node to another, and
 * dropped if it reaches no target. refused_count counts dropped packets of
 * flows that have no target yet.
 */
struct flow_fleet_counts {
	uint64_t packet_count;
	uint64_t forwarded_count;
	uint64_t opened_count;
	uint64_t refused_count;
	uint64_t drop_count;
	uint64_t broken_count;
	/* Broken flows of which a packet reached another target. */
	uint64_t moved_count;
	/* Packets that reached a target of another service. */
	uint64_t wrong_service_count;
	/*
	 * Flows placed on a target more than LEAVING_NOTICE_MS after its state
	 * became leaving.
	 */
	uint64_t placed_on_leaving_count;
	/* Duplicate packets that reached another target than the original. */
	uint64_t diverged_copy_count;
	/* Placements of packets by reason. */
	uint64_t reason_counts[REASON_COUNT];
};

struct flow_fleet *flow_fleet_new(const struct flow_fleet_options *options);
void flow_fleet_free(struct flow_fleet *fleet);
struct flow_fleet_counts flow_fleet_counts(const struct flow_fleet *fleet);
struct driver *flow_fleet_driver(struct flow_fleet *fleet);
int64_t flow_fleet_now_ms(const struct flow_fleet *fleet);
void flow_fleet_run(struct flow_fleet *fleet, uint32_t duration_ms);

void flow_fleet_set_pool(struct flow_fleet *fleet, uint32_t first,
			 uint32_t count, uint32_t first_target_weight);
void flow_fleet_set_form(struct flow_fleet *fleet, uint32_t form);
void flow_fleet_remove_target(struct flow_fleet *fleet, uint32_t number);
void flow_fleet_move_target(struct flow_fleet *fleet, uint32_t number);
void flow_fleet_publish_rules(struct flow_fleet *fleet);
void flow_fleet_set_update_delay(struct flow_fleet *fleet,
				 uint32_t update_delay_max_ms);
void flow_fleet_set_target_state(struct flow_fleet *fleet, uint32_t number,
				 enum target_state state);
void flow_fleet_join(struct flow_fleet *fleet, uint32_t node);
void flow_fleet_leave(struct flow_fleet *fleet, uint32_t node);
void flow_fleet_replace_all_nodes(struct flow_fleet *fleet);
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
double flow_fleet_peak_control_bytes_per_s(const struct flow_fleet *fleet);
uint64_t flow_fleet_control_bytes(const struct flow_fleet *fleet);

#endif
