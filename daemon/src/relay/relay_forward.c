#include "relay_task_state.h"

#include <inttypes.h>
#include <platform/echo_packet.h>

#define US_PER_MS 1000

/* Bounds the age of packets if the time of day was set forward. */
#define AGE_MAX_MS 60000

static struct relay_log_state current_log_state(const struct relay_task *relay,
						int64_t now_ms)
{
	return (struct relay_log_state){
		.version = relay_director_config_version(relay->director),
		.update_age_ms = relay->last_update_ms == 0
					 ? RELAY_LOG_NO_UPDATE
					 : now_ms - relay->last_update_ms,
	};
}

/* Arms retry_timer for due_ms unless it is due earlier already. */
static void arm_retry(struct relay_task *relay, int64_t due_ms, int64_t now_ms)
{
	if (due_ms >= relay->retry_due_ms)
		return;
	relay->retry_due_ms = due_ms;
	timer_once(relay->retry_timer, (uint32_t)MAX(due_ms - now_ms, 1));
}

static void execute_verdict(struct relay_task *relay,
			    const struct relay_packet *packet,
			    const struct relay_verdict *verdict,
			    const uint8_t *bytes, uint32_t length_bytes,
			    int64_t arrived_ms)
{
	switch (verdict->action) {
	case RELAY_FORWARD:
		relay_sender_forward(relay->sender, verdict, bytes,
				     length_bytes);
		break;
	case RELAY_RESET:
		relay_sender_reset(relay->sender, packet);
		break;
	case RELAY_HOLD:
		if (!held_packets_add(relay->held, bytes, length_bytes,
				      arrived_ms))
			relay_sender_reset(relay->sender, packet);
		break;
	case RELAY_DROP:
		break;
	}
}

static void record_times(struct relay_task *relay,
			 const struct relay_packet *packet,
			 const struct relay_verdict *verdict,
			 const struct relay_log_state *state)
{
	if (verdict->is_answered)
		histogram_set_add(relay->times, RELAY_TIME_ANSWER,
				  verdict->answer_delay_ms);
	if (packet->is_opening && relay->last_update_ms != 0)
		histogram_set_add(relay->times, RELAY_TIME_UPDATE_AGE,
				  state->update_age_ms);
}

static void handle_packet(struct relay_task *relay, const uint8_t *bytes,
			  uint32_t length_bytes, int64_t arrived_ms,
			  int64_t now_ms)
{
	struct relay_log_state state = current_log_state(relay, now_ms);
	struct relay_packet packet;
	struct relay_verdict verdict;

	if (!echo_packet_parse(&packet, bytes, length_bytes)) {
		verdict = (struct relay_verdict){.action = RELAY_DROP,
						 .reason = REASON_MALFORMED};
		relay_counters_add_verdict(relay->counters, &verdict);
		return;
	}
	packet.age_ms = (uint32_t)(now_ms - arrived_ms);
	verdict = relay_director_handle_packet(relay->director, &packet, bytes,
					       length_bytes, now_ms);
	relay_counters_add_verdict(relay->counters, &verdict);
	record_times(relay, &packet, &verdict, &state);
	relay_log_packet(relay->log, &packet, &verdict, &state, bytes,
			 length_bytes);
	execute_verdict(relay, &packet, &verdict, bytes, length_bytes,
			arrived_ms);
	if (packet.is_opening)
		arm_retry(relay, relay_director_tick(relay->director, now_ms),
			  now_ms);
}

/* Records that the task runs; logs a pause of the process. */
void relay_forward_turn(struct relay_task *relay, int64_t now_ms)
{
	int64_t turn_ms = relay->pause.turn_ms;

	if (relay_pause_note_turn(&relay->pause, now_ms))
		log_write(relay->log, LOG_LEVEL_NOTICE, "paused",
			  "pause_ms=%" PRId64, now_ms - turn_ms);
}

/* Callback of the socket: all packets that had arrived have been handled. */
void relay_forward_emptied(void *context)
{
	struct relay_task *relay = context;

	relay_pause_end(&relay->pause);
}

/*
 * Returns when the packet that is being received arrived. Without a time from
 * the kernel, or if the time of day was set back, it may have lain in the
 * socket since the process stood still.
 */
static int64_t arrival_ms(const struct relay_task *relay, int64_t now_ms)
{
	int64_t age_ms = relay_sender_packet_age_ms(relay->sender);

	if (age_ms < 0)
		age_ms = relay_pause_age_ms(&relay->pause, now_ms);
	return now_ms - MIN(age_ms, AGE_MAX_MS);
}

/* Handles a packet from the socket. */
void relay_forward_packet(void *context, const struct endpoint *from,
			  const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_task *relay = context;
	int64_t received_us = task_now_us();

	counter_set_add(relay_task_counters(relay), RELAY_PACKETS_RECEIVED, 1);
	relay->last_packet_ms = received_us / US_PER_MS;
	relay_forward_turn(relay, relay->last_packet_ms);
	handle_packet(relay, bytes, length_bytes,
		      arrival_ms(relay, relay->last_packet_ms),
		      relay->last_packet_ms);
	histogram_set_add(relay->times, RELAY_TIME_FORWARD,
			  task_now_us() - received_us);
}

static void handle_held_packet(void *context, const uint8_t *bytes,
			       uint32_t length_bytes, int64_t arrived_ms)
{
	handle_packet(context, bytes, length_bytes, arrived_ms, task_now_ms());
}

/* Handles the held packets once the director is no longer starting. */
void relay_forward_held(struct relay_task *relay)
{
	if (held_packets_is_empty(relay->held) ||
	    relay_director_is_starting(relay->director, task_now_ms()))
		return;
	held_packets_release(relay->held, relay, handle_held_packet);
}

/* Callback of the director: resends an opening packet to another target. */
void relay_forward_resend_opening(void *context,
				  const struct relay_verdict *verdict,
				  const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_task *relay = context;
	struct relay_log_state state = current_log_state(relay, task_now_ms());
	struct relay_packet packet;

	relay_counters_add_verdict(relay->counters, verdict);
	if (echo_packet_parse(&packet, bytes, length_bytes))
		relay_log_verdict(relay->log, &packet, verdict, &state);
	relay_sender_forward(relay->sender, verdict, bytes, length_bytes);
}

/*
 * Callback of the director: tells a target that the flow opened at another one.
 */
void relay_forward_settle_opening(void *context,
				  const struct relay_verdict *verdict,
				  const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_task *relay = context;
	struct relay_packet packet;

	relay_counters_add_verdict(relay->counters, verdict);
	if (echo_packet_parse(&packet, bytes, length_bytes))
		relay_log_settled(relay->log, &packet, verdict);
	relay_sender_forward(relay->sender, verdict, bytes, length_bytes);
}

/*
 * Callback of the director: reports to the nodes of the zone that this node has
 * taken over a flow.
 */
void relay_forward_flow_moved(void *context, struct hash128 flow_hash,
			      uint32_t tag)
{
	struct relay_task *relay = context;

	relay_peers_queue_moved_flow(relay->peers, flow_hash, tag);
}

/* Callback of the director: counts and logs an avoided target or zone. */
void relay_forward_health_changed(void *context, uint64_t target_id,
				  uint32_t zone_id)
{
	struct relay_task *relay = context;

	counter_set_add(relay_task_counters(relay), RELAY_AVOIDED, 1);
	relay_log_avoided(relay->log, target_id, zone_id);
}

/* Callback of the director: logs where the limit of a target begins or ends. */
void relay_forward_warmup_changed(void *context,
				  const struct relay_target *entry,
				  bool is_limited)
{
	struct relay_task *relay = context;

	relay_log_warmup(relay->log, entry, is_limited, task_now_ms());
}

/* Callback of the director: logs that a zone is lost or back. */
void relay_forward_zone_changed(void *context,
				const struct relay_zone_change *change)
{
	const struct relay_task *relay = context;

	relay_log_zone(relay->log, change);
}

/* Callback of the director: logs that a service is short of room, or not. */
void relay_forward_room_changed(void *context,
				const struct relay_room_change *change)
{
	const struct relay_task *relay = context;

	relay_log_room(relay->log, change);
}

/* Callback of the director: logs that no new flow can be served, or can be. */
void relay_forward_isolation_changed(
	void *context, const struct relay_isolation_change *change)
{
	const struct relay_task *relay = context;

	relay_log_isolation(relay->log, change, task_now_ms());
}

/* Callback of the director: tells the zone's nodes about another zone. */
void relay_forward_zone_report(void *context,
			       const struct relay_zone_report *report)
{
	struct relay_task *relay = context;
	const struct relay_message message = {.kind = RELAY_MESSAGE_ZONE,
					      .zone = *report};

	relay_peers_send_to_own_zone(relay->peers, &message);
}

/* Callback of the director: logs that a target is silent or no longer is. */
void relay_forward_target_changed(void *context,
				  const struct relay_target_change *change)
{
	const struct relay_task *relay = context;

	relay_log_target_silence(relay->log, change);
}

/* Callback of the director: tells the zone's nodes about a target. */
void relay_forward_target_report(void *context,
				 const struct relay_target_report *report)
{
	struct relay_task *relay = context;
	const struct relay_message message = {.kind = RELAY_MESSAGE_TARGET,
					      .target = *report};

	relay_peers_send_to_own_zone(relay->peers, &message);
}

/* Timer callback: resends opening packets that are due, rearms the timer. */
void relay_forward_retry(void *context)
{
	struct relay_task *relay = context;
	int64_t now_ms = task_now_ms();

	relay_forward_turn(relay, now_ms);
	relay->retry_due_ms = INT64_MAX;
	arm_retry(relay, relay_director_tick(relay->director, now_ms), now_ms);
}
