#ifndef RELAY_DIRECTOR_STATE_H
#define RELAY_DIRECTOR_STATE_H

#include <core/relay_director.h>
#include <core/relay_flow_table.h>
#include <core/relay_isolation.h>
#include <core/relay_round_trip.h>
#include <core/relay_silence.h>
#include <core/relay_target_silence.h>
#include <core/relay_zone_health.h>

#include "relay_rotation.h"
#include "relay_sought.h"

/*
 * now_ms is the time of the choice in progress, for its callbacks. node_count
 * is the number of nodes in the own zone, 0 while unknown. is_in_turn: the last
 * choice was made by turns (see core/relay_walk.h); has_rate: its service
 * states a rate for cold targets; is_rate_met: it left a target out because of
 * that. cold_count is the number of targets whose rate was limited at the last
 * sweep. room_keeper is NULL unless the routes state more than one priority.
 */
struct relay_director {
	struct relay_director_options options;
	struct relay_directory *directory;
	struct relay_loads *loads;
	struct relay_evacuations *evacuations;
	struct relay_route_table *routes;
	struct relay_flow_table *flows;
	struct relay_sought *sought;
	struct relay_zone_health *zone_health;
	struct relay_silence *silence;
	struct relay_isolation *isolation;
	struct relay_target_silence *target_silence;
	struct relay_round_trip round_trip;
	struct relay_warmup *warmup;
	struct relay_rotation rotation;
	struct relay_room_keeper *room_keeper;
	GRand *random;
	uint32_t node_count;
	bool is_in_turn;
	int64_t now_ms;
	int64_t swept_ms;
	uint32_t cold_count;
	bool has_rate;
	bool is_rate_met;
};

struct relay_verdict relay_opening_handle_packet(
	struct relay_director *director, const struct relay_packet *packet,
	const uint8_t *bytes, uint32_t length_bytes, int64_t now_ms);
struct relay_verdict
relay_established_handle_packet(struct relay_director *director,
				const struct relay_packet *packet,
				int64_t now_ms);
void relay_opening_record_answer(struct relay_director *director,
				 struct relay_flow *flow, int64_t now_ms);
int64_t relay_opening_resend_due(struct relay_director *director,
				 int64_t now_ms);
void relay_isolation_evidence_update(struct relay_director *director,
				     int64_t now_ms);
void relay_flow_load_add(struct relay_director *director,
			 struct relay_flow *flow);
void relay_flow_load_remove(struct relay_director *director,
			    struct relay_flow *flow);
struct hash128 relay_packet_flow_hash(const struct relay_director *director,
				      const struct relay_packet *packet);
struct relay_verdict relay_verdict_reject(enum relay_action action,
					  enum reason reason);
void relay_verdict_set_target(struct relay_verdict *verdict,
			      const struct relay_target *entry,
			      enum reason reason);

#endif
