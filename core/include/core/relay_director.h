#ifndef CORE_RELAY_DIRECTOR_H
#define CORE_RELAY_DIRECTOR_H

#include <core/relay_admission.h>
#include <core/relay_evacuations.h>
#include <core/relay_isolation.h>
#include <core/relay_loads.h>
#include <core/relay_packet.h>
#include <core/relay_route_table.h>
#include <core/relay_silence.h>
#include <core/relay_sought_flow.h>
#include <core/relay_spread.h>
#include <core/relay_target_silence.h>
#include <core/relay_verdict.h>
#include <core/relay_warmup.h>

/*
 * Decides what a node does with packets whose callers echo the tag of their
 * target: chooses a target for each new flow, forwards later packets to the
 * target that their tag identifies, and avoids targets that do not answer
 * opening packets. The owner sets the routes, the targets, the load reports and
 * the evacuated zones.
 */
struct relay_director;

/* A service that has become short of room, or has room again. */
struct relay_room_change {
	struct relay_room room;
	bool is_short;
};

/*
 * Callbacks that carry out and report decisions. resend_opening sends the
 * opening packet of a flow again; the bytes are valid during the call only.
 * settle_opening sends it to a target where the flow did not open, with the tag
 * of the target where it did; it may be NULL, as then no target is told.
 * flow_moved reports that this node has taken over a flow, whose target the tag
 * identifies, from another node.
 * avoidance_started reports that a target, or the whole zone if target_id is
 * TARGET_NONE, is avoided from now on. warmup_changed reports that the rate of
 * a cold target applies from now on, or no longer; it is only called if the
 * configuration states a rate. zone_changed and zone_report_due are those of
 * struct relay_silence_options. room_changed reports that a service is short
 * of room, or no longer. isolation_changed reports that this node can serve no
 * new flow, or can again. target_changed and target_report_due are those of
 * struct relay_target_silence_options. These six may be NULL.
 */
struct relay_callbacks {
	void *context;
	void (*resend_opening)(void *context,
			       const struct relay_verdict *verdict,
			       const uint8_t *bytes, uint32_t length_bytes);
	void (*settle_opening)(void *context,
			       const struct relay_verdict *verdict,
			       const uint8_t *bytes, uint32_t length_bytes);
	void (*flow_moved)(void *context, struct hash128 flow_hash,
			   uint32_t tag);
	void (*avoidance_started)(void *context, uint64_t target_id,
				  uint32_t zone_id);
	void (*warmup_changed)(void *context, const struct relay_target *entry,
			       bool is_limited);
	void (*zone_changed)(void *context,
			     const struct relay_zone_change *change);
	void (*zone_report_due)(void *context,
				const struct relay_zone_report *report);
	void (*room_changed)(void *context,
			     const struct relay_room_change *change);
	void (*isolation_changed)(void *context,
				  const struct relay_isolation_change *change);
	void (*target_changed)(void *context,
			       const struct relay_target_change *change);
	void (*target_report_due)(void *context,
				  const struct relay_target_report *report);
};

/*
 * flow_seed is the seed of the flow hashes and the same on all nodes, as they
 * identify flows to each other by these hashes. random_seed differs between
 * nodes, so that they don't all choose the same target. start_ms is when the
 * node started.
 */
struct relay_director_options {
	uint32_t zone_id;
	uint32_t flow_capacity;
	uint32_t reuse_after_ms;
	uint64_t flow_seed;
	uint32_t random_seed;
	int64_t start_ms;
	struct relay_warmup_options warmup;
	struct relay_callbacks callbacks;
};

struct relay_director *
relay_director_new(const struct relay_director_options *options);
void relay_director_free(struct relay_director *director);
struct relay_verdict relay_director_handle_packet(
	struct relay_director *director, const struct relay_packet *packet,
	const uint8_t *bytes, uint32_t length_bytes, int64_t now_ms);
int64_t relay_director_tick(struct relay_director *director, int64_t now_ms);
bool relay_director_set_routes(struct relay_director *director,
			       struct relay_route_table *routes);
void relay_director_set_nodes(struct relay_director *director,
			      const GArray *peers, int64_t now_ms);
uint64_t relay_director_config_version(const struct relay_director *director);
void relay_director_handle_flow_moved(struct relay_director *director,
				      struct hash128 flow_hash, uint32_t tag,
				      int64_t now_ms);
uint32_t relay_director_take_sought(struct relay_director *director,
				    struct relay_sought_flow *flows,
				    int64_t now_ms);
uint32_t relay_director_find_tag(struct relay_director *director,
				 const struct relay_sought_flow *sought);
void relay_director_handle_flow_found(struct relay_director *director,
				      struct hash128 flow_hash, uint32_t tag,
				      int64_t now_ms);
void relay_director_handle_target_report(
	struct relay_director *director,
	const struct relay_target_report *report, int64_t now_ms);
uint32_t relay_director_silent_count(const struct relay_director *director);
void relay_director_set_leaving(struct relay_director *director);
void relay_director_note_asked(struct relay_director *director, int64_t now_ms);
struct relay_directory *
relay_director_directory(struct relay_director *director);
void relay_director_set_node_count(struct relay_director *director,
				   uint32_t node_count);
struct relay_loads *relay_director_loads(struct relay_director *director);
struct relay_evacuations *
relay_director_evacuations(struct relay_director *director);
struct relay_silence *relay_director_silence(struct relay_director *director);
bool relay_director_is_starting(const struct relay_director *director,
				int64_t now_ms);
bool relay_director_is_ready(const struct relay_director *director);
bool relay_director_is_isolated(const struct relay_director *director);
struct relay_spread relay_director_spread(struct relay_director *director,
					  int64_t now_ms);
uint32_t relay_director_flow_count(const struct relay_director *director);
uint32_t relay_director_cold_count(const struct relay_director *director);
uint32_t relay_director_short_count(const struct relay_director *director);

#endif
