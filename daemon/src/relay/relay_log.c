#include "relay_log.h"

#include <core/relay_tag.h>
#include <inttypes.h>
#include <platform/echo_packet.h>

/*
 * The end of a flow is not logged if the flow closes before this age without a
 * reset. This is the tightest latency objective of any service.
 */
#define SLOW_FLOW_MS 100

static const char *const action_names[] = {
	[RELAY_FORWARD] = "forward",
	[RELAY_RESET] = "reset",
	[RELAY_DROP] = "drop",
	[RELAY_HOLD] = "hold",
};

/* Logs a decision on a flow, identified by its addresses. */
void relay_log_verdict(struct log *log, const struct relay_packet *packet,
		       const struct relay_verdict *verdict,
		       const struct relay_log_state *state)
{
	char caller[ENDPOINT_TEXT_BYTES];
	char service[ENDPOINT_TEXT_BYTES];

	log_write(log, LOG_LEVEL_INFO, "flow",
		  "caller=%s service=%s action=%s reason=%s target=%" PRIx64
		  " tag=%08" PRIx32 " try=%u cost_milli=%" PRIu32
		  " version=%" PRIu64 " news_age_ms=%" PRId64,
		  endpoint_format(&packet->caller, caller),
		  endpoint_format(&packet->service, service),
		  action_names[verdict->action], reason_name(verdict->reason),
		  verdict->target_id,
		  verdict->action == RELAY_FORWARD ? verdict->tag : packet->tag,
		  verdict->try_count, verdict->cost_milli, state->version,
		  state->update_age_ms);
}

/*
 * Logs that a target is told of the one where a flow opened, which tag
 * identifies.
 */
void relay_log_settled(struct log *log, const struct relay_packet *packet,
		       const struct relay_verdict *verdict)
{
	char caller[ENDPOINT_TEXT_BYTES];
	char service[ENDPOINT_TEXT_BYTES];

	log_write(log, LOG_LEVEL_INFO, "flow_settled",
		  "caller=%s service=%s target=%" PRIx64 " tag=%08" PRIx32
		  " try=%u",
		  endpoint_format(&packet->caller, caller),
		  endpoint_format(&packet->service, service),
		  verdict->target_id, verdict->tag, verdict->try_count);
}

/*
 * Logs the id of a request with the flow that carries it, so that the flow can
 * be found by the id.
 */
static void log_request(struct log *log, const struct relay_packet *packet,
			const struct relay_verdict *verdict,
			const char *request_id)
{
	char caller[ENDPOINT_TEXT_BYTES];
	char service[ENDPOINT_TEXT_BYTES];

	log_write(log, LOG_LEVEL_INFO, "request",
		  "id=%s caller=%s service=%s target=%" PRIx64
		  " try=%u flow_age_ms=%" PRIu32,
		  request_id, endpoint_format(&packet->caller, caller),
		  endpoint_format(&packet->service, service),
		  verdict->target_id, verdict->try_count, verdict->flow_age_ms);
}

/* Logs the end of a flow if the flow was slow or its caller reset it. */
static void log_closed(struct log *log, const struct relay_packet *packet,
		       const struct relay_verdict *verdict)
{
	char caller[ENDPOINT_TEXT_BYTES];
	char service[ENDPOINT_TEXT_BYTES];

	if (!packet->is_reset && verdict->flow_age_ms < SLOW_FLOW_MS)
		return;
	log_write(log, LOG_LEVEL_INFO, "flow_ended",
		  "caller=%s service=%s by=%s target=%" PRIx64
		  " flow_age_ms=%" PRIu32,
		  endpoint_format(&packet->caller, caller),
		  endpoint_format(&packet->service, service),
		  packet->is_reset ? "reset" : "close", verdict->target_id,
		  verdict->flow_age_ms);
}

/*
 * Logs a new decision on a packet or, if there is none, the request that the
 * packet carries. Also logs the end of a slow or reset flow.
 */
void relay_log_packet(struct log *log, const struct relay_packet *packet,
		      const struct relay_verdict *verdict,
		      const struct relay_log_state *state, const uint8_t *bytes,
		      uint32_t length_bytes)
{
	char request_id[ECHO_REQUEST_ID_BYTES];

	if (verdict->is_new_decision)
		relay_log_verdict(log, packet, verdict, state);
	else if (packet->payload_bytes > 0 &&
		 echo_packet_request_id(request_id, bytes, length_bytes))
		log_request(log, packet, verdict, request_id);
	if (verdict->is_closed)
		log_closed(log, packet, verdict);
}

/* Logs a change of a target. */
void relay_log_target(struct log *log, const struct target_change *change,
		      int64_t revision)
{
	char text[ENDPOINT_TEXT_BYTES];

	if (change->is_removed) {
		log_write(log, LOG_LEVEL_NOTICE, "target",
			  "target=%" PRIx64 " state=gone revision=%" PRId64,
			  change->target.target_id, revision);
		return;
	}
	log_write(log, LOG_LEVEL_NOTICE, "target",
		  "target=%" PRIx64 " tag=%08" PRIx32
		  " state=%s address=%s service=%08" PRIx32 " zone=%08" PRIx32
		  " slots=%" PRIu32 " warmup_ms=%" PRIu32
		  " incarnation=%08" PRIx32 " revision=%" PRId64,
		  change->target.target_id,
		  relay_tag_of(change->target.target_id),
		  target_state_name(change->target.state),
		  endpoint_format(&change->target.endpoint, text),
		  change->target.service_id, change->target.zone_id,
		  change->target.slot_count, change->warmup_ms,
		  change->target.incarnation, revision);
}

/*
 * Logs that a target is not used because another one has the same tag, so that
 * a packet with this tag could belong to either of them.
 */
void relay_log_tag_taken(struct log *log, const struct target_change *change)
{
	log_write(log, LOG_LEVEL_ERROR, "tag_taken",
		  "target=%" PRIx64 " tag=%08" PRIx32, change->target.target_id,
		  relay_tag_of(change->target.target_id));
}

/* Logs a configuration that comes into force. */
void relay_log_routes(struct log *log, const struct relay_route_table *routes,
		      int64_t revision)
{
	log_write(log, LOG_LEVEL_NOTICE, "routes",
		  "version=%" PRIu64 " routes=%" PRIu32
		  " idle_timeout_ms=%" PRIu32 " revision=%" PRId64,
		  relay_route_table_version(routes),
		  relay_route_table_count(routes),
		  relay_route_table_idle_timeout_ms(routes), revision);
}

/*
 * Logs that a target, or the whole zone if target_id is TARGET_NONE, is avoided
 * because it has not answered opening packets.
 */
void relay_log_avoided(struct log *log, uint64_t target_id, uint32_t zone_id)
{
	log_write(log, LOG_LEVEL_NOTICE, "avoided",
		  "target=%" PRIx64 " zone=%08" PRIx32
		  " reason=opening_packets_unanswered",
		  target_id, zone_id);
}

/* Logs that the evacuation of a zone comes into force or ends. */
void relay_log_evacuation(struct log *log, const struct zone *zone,
			  bool is_evacuated, int64_t revision)
{
	log_write(log, LOG_LEVEL_NOTICE,
		  is_evacuated ? "evacuation_started" : "evacuation_ended",
		  "name=%s zone=%08" PRIx32 " revision=%" PRId64, zone->name,
		  zone->zone_id, revision);
}

/*
 * Logs that the rate of a cold target applies from now on, or no longer: at
 * most twice for each warm-up.
 */
void relay_log_warmup(struct log *log, const struct relay_target *entry,
		      bool is_limited, int64_t now_ms)
{
	log_write(log, LOG_LEVEL_NOTICE, "warmup",
		  "target=%" PRIx64 " service=%08" PRIx32 " zone=%08" PRIx32
		  " limited=%s remaining_ms=%" PRId64,
		  entry->target.target_id, entry->target.service_id,
		  entry->target.zone_id, is_limited ? "yes" : "no",
		  is_limited ? entry->warmup.end_ms - now_ms : 0);
}

/* Logs that a zone is lost to this node, or back, and the evidence. */
void relay_log_zone(struct log *log, const struct relay_zone_change *change)
{
	log_write(log, LOG_LEVEL_NOTICE,
		  change->is_lost ? "zone_lost" : "zone_back",
		  "zone=%08" PRIx32 " silent_ms=%" PRIu32 " stalled=%" PRIu32,
		  change->zone_id, change->silent_ms, change->stalled_count);
}

/* Logs that the node can serve no new flow, or can again. */
void relay_log_isolation(struct log *log,
			 const struct relay_isolation_change *change,
			 int64_t now_ms)
{
	const struct relay_isolation_evidence *evidence = &change->evidence;

	log_write(log, LOG_LEVEL_NOTICE,
		  change->is_isolated ? "isolated" : "isolation_ended",
		  "evacuated=%s silent=%s silent_ms=%" PRId64
		  " usable_zones=%" PRIu32 " failed=%" PRIu32 " leaving=%s",
		  evidence->is_evacuated ? "yes" : "no",
		  evidence->is_silent ? "yes" : "no",
		  now_ms - evidence->heard_ms, evidence->usable_zone_count,
		  change->failed_count, evidence->is_leaving ? "yes" : "no");
}

/* Logs that a target is silent, or no longer is, and the evidence. */
void relay_log_target_silence(struct log *log,
			      const struct relay_target_change *change)
{
	log_write(log, LOG_LEVEL_NOTICE,
		  change->is_silent ? "target_silent" : "target_silence_ended",
		  "target=%" PRIx64 " zone=%08" PRIx32 " silent_ms=%" PRIu32
		  " flows=%" PRIu32 " alive=%s",
		  change->target_id, change->zone_id, change->silent_ms,
		  change->flow_count, change->is_alive ? "yes" : "no");
}

/* Logs that a service is short of room, or has room again. */
void relay_log_room(struct log *log, const struct relay_room_change *change)
{
	log_write(log, LOG_LEVEL_NOTICE,
		  change->is_short ? "room_short" : "room_back",
		  "service=%08" PRIx32 " slots=%" PRIu64 " open=%" PRIu64
		  " own_open=%" PRIu64,
		  change->room.service_id, change->room.slot_count,
		  change->room.open_count, change->room.own_open_count);
}
