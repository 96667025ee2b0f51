#ifndef FAKES_CONFIG_FLEET_H
#define FAKES_CONFIG_FLEET_H

#include <core/rules_gossip.h>
#include <core/rules_merge.h>
#include <fakes/config_fleet_result.h>
#include <fakes/driver.h>

/*
 * Simulates the propagation of the configuration: nodes (rules_gossip) and
 * operators (rules_sync) share a store of one versioned document, on the
 * driver's virtual clock. During the run it counts rules that revert to an
 * earlier version, and records the lines that operators were told were
 * accepted, so that lost ones can be counted.
 */
struct config_fleet;

/*
 * The first old_node_count nodes announce no features, like nodes of an older
 * version. The response is lost for lost_response_ppm of the operators' writes;
 * half of these writes reach the store after a random delay of up to
 * LATE_WRITE_MAX_MS.
 */
struct config_fleet_options {
	uint32_t node_count;
	uint32_t zone_count;
	uint32_t operator_count;
	uint32_t old_node_count;
	uint32_t loss_ppm;
	uint32_t lost_response_ppm;
	uint64_t seed;
};

struct config_fleet *
config_fleet_new(const struct config_fleet_options *options);
void config_fleet_free(struct config_fleet *fleet);
struct driver *config_fleet_driver(struct config_fleet *fleet);
void config_fleet_run(struct config_fleet *fleet, int64_t duration_ms);
void config_fleet_save_rules(struct config_fleet *fleet,
			     uint32_t operator_index, const char *file);
void config_fleet_set_store_state(struct config_fleet *fleet, bool is_up,
				  bool is_watch_stalled);
void config_fleet_snapshot_store(struct config_fleet *fleet);
void config_fleet_restore_store(struct config_fleet *fleet);
void config_fleet_cut_store_link(struct config_fleet *fleet, uint32_t node,
				 bool is_cut);
void config_fleet_cut_peer_links(struct config_fleet *fleet, uint32_t node,
				 bool is_cut);
void config_fleet_pause(struct config_fleet *fleet, uint32_t node,
			bool is_paused);
void config_fleet_restart(struct config_fleet *fleet, uint32_t node);
void config_fleet_set_features(struct config_fleet *fleet, uint32_t node,
			       uint64_t features);
const struct rules_gossip *config_fleet_gossip(const struct config_fleet *fleet,
					       uint32_t node);
const struct rules_document *
config_fleet_stored_document(const struct config_fleet *fleet);
enum rules_verdict config_fleet_verdict(const struct config_fleet *fleet,
					uint32_t operator_index,
					const char *name);
bool config_fleet_is_converged(const struct config_fleet *fleet);
struct config_fleet_result
config_fleet_results(const struct config_fleet *fleet);

#endif
