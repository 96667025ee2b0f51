#ifndef RELAY_LOG_H
#define RELAY_LOG_H

#include <core/relay_director.h>
#include <core/relay_packet.h>
#include <core/relay_route_table.h>
#include <core/relay_silence.h>
#include <core/relay_target.h>
#include <core/relay_target_silence.h>
#include <core/relay_verdict.h>
#include <core/zone.h>
#include <daemon/store_update_message.h>
#include <task/log.h>

/* The update age of a node that has had no update from the store yet. */
#define RELAY_LOG_NO_UPDATE (-1)

/*
 * The state that a decision is based on besides the packet: the version of the
 * configuration and the time since the last update from the store.
 */
struct relay_log_state {
	uint64_t version;
	int64_t update_age_ms;
};

void relay_log_verdict(struct log *log, const struct relay_packet *packet,
		       const struct relay_verdict *verdict,
		       const struct relay_log_state *state);
void relay_log_settled(struct log *log, const struct relay_packet *packet,
		       const struct relay_verdict *verdict);
void relay_log_packet(struct log *log, const struct relay_packet *packet,
		      const struct relay_verdict *verdict,
		      const struct relay_log_state *state, const uint8_t *bytes,
		      uint32_t length_bytes);
void relay_log_target(struct log *log, const struct target_change *change,
		      int64_t revision);
void relay_log_tag_taken(struct log *log, const struct target_change *change);
void relay_log_routes(struct log *log, const struct relay_route_table *routes,
		      int64_t revision);
void relay_log_evacuation(struct log *log, const struct zone *zone,
			  bool is_evacuated, int64_t revision);
void relay_log_warmup(struct log *log, const struct relay_target *entry,
		      bool is_limited, int64_t now_ms);
void relay_log_avoided(struct log *log, uint64_t target_id, uint32_t zone_id);
void relay_log_zone(struct log *log, const struct relay_zone_change *change);
void relay_log_isolation(struct log *log,
			 const struct relay_isolation_change *change,
			 int64_t now_ms);
void relay_log_target_silence(struct log *log,
			      const struct relay_target_change *change);
void relay_log_room(struct log *log, const struct relay_room_change *change);

#endif
