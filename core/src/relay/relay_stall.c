#include "relay_stall.h"

/*
 * Callers send a packet again after 200 ms or more; packets of a burst with the
 * same or lower sequence numbers follow each other faster.
 */
#define RESENT_INTERVAL_MIN_MS 100

/* A removed target whose entry has not come back after this time is gone. */
#define GONE_MS 5000

/* The same if the target is taken for silent, too. */
#define SILENT_GONE_MS 2500

/*
 * A flow to a target that is gone is given up when its packet has been sent
 * again this many times: targets acknowledge at least every second packet.
 */
#define GONE_RESENT_COUNT 2

/*
 * A single packet is sent again to a healthy target too: it need not
 * acknowledge the first one before its response is ready.
 */
#define STALL_RESENT_COUNT 2

/* This node reads packets late that waited for it for this long. */
#define LATE_MS 100

/* The end of a flow takes one sequence number. */
#define END_SEQUENCE_COUNT 1

static bool is_after(uint32_t number, uint32_t reference)
{
	return (int32_t)(number - reference) > 0;
}

/* Starts the record of what the flow's caller sends and acknowledges. */
void relay_stall_begin(struct relay_flow *flow,
		       const struct relay_packet *packet)
{
	flow->data_sequence = packet->sequence - 1;
	flow->acknowledged = packet->acknowledged;
	flow->resent_count = 0;
}

/*
 * A pure acknowledgement of data follows the target's packet at once. One that
 * comes with data or closes the flow may have been held back since the caller's
 * previous packet. The end of the flow alone, which counts as one byte, does
 * not show that the target received anything: it closes idle flows by itself,
 * and its packets take another path to the caller.
 */
static void record_progress(struct relay_director *director,
			    struct relay_flow *flow, struct relay_target *entry,
			    const struct relay_packet *packet,
			    int64_t previous_ms, int64_t now_ms)
{
	bool was_sent_once = flow->resent_count == 0;
	int64_t life_ms;
	uint32_t advance = packet->acknowledged - flow->acknowledged;
	bool is_pure = packet->payload_bytes == 0 && !packet->is_closing &&
		       !packet->is_reset;

	flow->acknowledged = packet->acknowledged;
	if (advance <= END_SEQUENCE_COUNT)
		return;
	flow->resent_count = 0;
	life_ms = is_pure ? now_ms : previous_ms;
	relay_silence_record_life(director->silence, entry->target.zone_id,
				  life_ms, now_ms);
	relay_target_silence_record_life(director->target_silence, entry,
					 life_ms, was_sent_once, now_ms);
}

static void record_data(struct relay_director *director,
			struct relay_flow *flow,
			const struct relay_target *entry,
			const struct relay_packet *packet, int64_t previous_ms,
			int64_t now_ms)
{
	if (is_after(packet->sequence, flow->data_sequence)) {
		flow->data_sequence = packet->sequence;
		flow->resent_count = 0;
		return;
	}
	if (now_ms - previous_ms < RESENT_INTERVAL_MIN_MS)
		return;
	if (flow->resent_count < RELAY_FLOW_RESENT_COUNT_MAX)
		flow->resent_count++;
	if (flow->resent_count >= STALL_RESENT_COUNT)
		relay_silence_record_stall(director->silence,
					   entry->target.zone_id, entry->tag,
					   now_ms);
	if (flow->resent_count >= STALL_RESENT_COUNT ||
	    relay_target_silence_is_silent(director->target_silence, entry,
					   now_ms))
		relay_target_silence_record_stall(
			director->target_silence, entry,
			(uint32_t)flow->hash.low,
			flow->resent_count == STALL_RESENT_COUNT, now_ms);
}

static bool is_gone(struct relay_director *director,
		    const struct relay_target *entry, int64_t now_ms)
{
	int64_t missing_ms = now_ms - entry->removed_ms;

	if (entry->removed_ms == 0 || missing_ms < SILENT_GONE_MS)
		return false;
	return missing_ms >= GONE_MS ||
	       relay_target_silence_is_silent(director->target_silence, entry,
					      now_ms);
}

/* A request that must not run twice is lost with its flow. */
static bool may_run_twice(const struct relay_director *director,
			  const struct relay_packet *packet)
{
	const struct relay_route *route =
		relay_route_table_find(director->routes, &packet->service);

	return route && route->kind != RELAY_ROUTE_UNSAFE;
}

/*
 * Returns whether a packet is better answered than sent on, as its target or
 * the target's zone does not answer. A packet that was sent again has shown
 * that, and is no trial.
 */
static bool is_lost(struct relay_director *director,
		    const struct relay_flow *flow,
		    const struct relay_target *entry, int64_t now_ms)
{
	uint32_t zone_id = entry->target.zone_id;

	if (relay_silence_is_lost(director->silence, zone_id, now_ms))
		return flow->resent_count > 0 ||
		       !relay_silence_take_trial(director->silence, zone_id,
						 now_ms);
	if (relay_target_silence_is_silent(director->target_silence, entry,
					   now_ms))
		return flow->resent_count > 0 ||
		       !relay_target_silence_take_trial(
			       director->target_silence, entry, now_ms);
	return false;
}

/*
 * Records what a packet of an open flow shows of the flow's target, which is
 * entry. previous_ms is when the flow's previous packet passed. Returns whether
 * to reset the flow, as its target is lost.
 */
bool relay_stall_handle_packet(struct relay_director *director,
			       struct relay_flow *flow,
			       struct relay_target *entry,
			       const struct relay_packet *packet,
			       int64_t previous_ms, int64_t now_ms)
{
	if (packet->age_ms >= LATE_MS)
		relay_target_silence_void(director->target_silence, now_ms);
	if (is_after(packet->acknowledged, flow->acknowledged))
		record_progress(director, flow, entry, packet, previous_ms,
				now_ms);
	if (packet->payload_bytes == 0 || packet->is_closing)
		return false;
	record_data(director, flow, entry, packet, previous_ms, now_ms);
	if (flow->resent_count >= GONE_RESENT_COUNT &&
	    is_gone(director, entry, now_ms))
		return true;
	return may_run_twice(director, packet) &&
	       is_lost(director, flow, entry, now_ms);
}
