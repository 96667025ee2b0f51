#include "relay_task_state.h"

#include <platform/echo_packet.h>

#define US_PER_MS 1000

static struct relay_log_state log_state(const struct relay_task *relay,
					int64_t now_ms)
{
	return (struct relay_log_state){
		.version = relay_director_version(relay->director),
		.news_age_ms = now_ms - relay->news_ms,
	};
}

static void arm_retry(struct relay_task *relay, int64_t due_ms, int64_t now_ms)
{
	if (due_ms >= relay->retry_ms)
		return;
	relay->retry_ms = due_ms;
	timer_once(relay->retry_timer, (uint32_t)MAX(due_ms - now_ms, 1));
}

static void carry_out(struct relay_task *relay,
		      const struct relay_packet *packet,
		      const struct relay_verdict *verdict, const uint8_t *bytes,
		      uint32_t length_bytes)
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
		if (!held_packets_add(relay->held, bytes, length_bytes))
			relay_sender_reset(relay->sender, packet);
		break;
	case RELAY_DROP:
		break;
	}
}

static void note_times(struct relay_task *relay,
		       const struct relay_packet *packet,
		       const struct relay_verdict *verdict,
		       const struct relay_log_state *state)
{
	if (verdict->is_answered)
		histogram_set_add(relay->times, RELAY_TIME_ANSWER,
				  verdict->answer_ms);
	if (packet->is_opening && relay->news_ms != 0)
		histogram_set_add(relay->times, RELAY_TIME_NEWS_AGE,
				  state->news_age_ms);
}

static void take_packet(struct relay_task *relay, const uint8_t *bytes,
			uint32_t length_bytes, int64_t now_ms)
{
	struct relay_log_state state = log_state(relay, now_ms);
	struct relay_packet packet;
	struct relay_verdict verdict;

	if (!echo_packet_parse(&packet, bytes, length_bytes)) {
		verdict = (struct relay_verdict){.action = RELAY_DROP,
						 .reason = REASON_MALFORMED};
		relay_counters_verdict(relay->counters, &verdict);
		return;
	}
	verdict = relay_director_handle_packet(relay->director, &packet, bytes,
					       length_bytes, now_ms);
	relay_counters_verdict(relay->counters, &verdict);
	note_times(relay, &packet, &verdict, &state);
	relay_log_packet(relay->log, &packet, &verdict, &state, bytes,
			 length_bytes);
	carry_out(relay, &packet, &verdict, bytes, length_bytes);
	if (packet.is_opening)
		arm_retry(relay, relay_director_tick(relay->director, now_ms),
			  now_ms);
}

/* Takes a packet from the socket. */
void relay_forward_packet(void *context, const struct endpoint *from,
			  const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_task *relay = context;
	int64_t taken_us = task_now_us();

	counter_set_add(relay_task_counters(relay), RELAY_PACKETS, 1);
	relay->packet_ms = taken_us / US_PER_MS;
	take_packet(relay, bytes, length_bytes, relay->packet_ms);
	histogram_set_add(relay->times, RELAY_TIME_FORWARD,
			  task_now_us() - taken_us);
}

static void take_held(void *context, const uint8_t *bytes,
		      uint32_t length_bytes)
{
	take_packet(context, bytes, length_bytes, task_now_ms());
}

/* Decides anew on what was held, once the start is over. */
void relay_forward_held(struct relay_task *relay)
{
	if (held_packets_is_empty(relay->held) ||
	    relay_director_is_starting(relay->director, task_now_ms()))
		return;
	held_packets_release(relay->held, relay, take_held);
}

/* Sends an opening packet to another target, as the director asks. */
void relay_forward_again(void *context, const struct relay_verdict *verdict,
			 const uint8_t *bytes, uint32_t length_bytes)
{
	struct relay_task *relay = context;
	struct relay_log_state state = log_state(relay, task_now_ms());
	struct relay_packet packet;

	relay_counters_verdict(relay->counters, verdict);
	if (echo_packet_parse(&packet, bytes, length_bytes))
		relay_log_verdict(relay->log, &packet, verdict, &state);
	relay_sender_forward(relay->sender, verdict, bytes, length_bytes);
}

/* Tells the zone's nodes of a flow that has come here. */
void relay_forward_flow_moved(void *context, struct hash128 print)
{
	struct relay_task *relay = context;

	relay_peers_flow_moved(relay->peers, print);
}

/* Counts and logs that a target or a zone is avoided. */
void relay_forward_health_changed(void *context, uint64_t target_id,
				  uint32_t zone_id)
{
	struct relay_task *relay = context;

	counter_set_add(relay_task_counters(relay), RELAY_AVOIDED, 1);
	relay_log_avoided(relay->log, target_id, zone_id);
}

/* Has the director send what is due, and arms the timer again. */
void relay_forward_retry(void *context)
{
	struct relay_task *relay = context;
	int64_t now_ms = task_now_ms();

	relay->retry_ms = INT64_MAX;
	arm_retry(relay, relay_director_tick(relay->director, now_ms), now_ms);
}
