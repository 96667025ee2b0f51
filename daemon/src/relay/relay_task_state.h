#ifndef RELAY_TASK_STATE_H
#define RELAY_TASK_STATE_H

#include <daemon/relay_task.h>

#include "held_packets.h"
#include "relay_counters.h"
#include "relay_drain.h"
#include "relay_log.h"
#include "relay_pause.h"
#include "relay_peers.h"
#include "relay_sender.h"
#include "relay_times.h"

#include <task/timer.h>

/*
 * State shared by relay_task.c and relay_forward.c. last_packet_ms and
 * last_update_ms are when the last packet and the last update from the store
 * arrived. retry_due_ms is when retry_timer is due, INT64_MAX if it is not
 * armed. is_ready tells that the node has routes and targets, and is_isolated
 * that it can serve no new flow all the same, as last reported to the admin
 * task.
 */
struct relay_task {
	struct task *task;
	const struct settings *settings;
	struct task *admin;
	struct task *feed;
	struct relay_sender *sender;
	struct timer *tick_timer;
	struct timer *retry_timer;
	struct relay_director *director;
	struct relay_peers *peers;
	struct relay_counters *counters;
	struct histogram_set *times;
	struct held_packets *held;
	struct log *log;
	struct relay_drain drain;
	struct relay_pause pause;
	int64_t last_packet_ms;
	int64_t last_update_ms;
	int64_t retry_due_ms;
	bool is_ready;
	bool is_isolated;
};

static inline struct counter_set *
relay_task_counters(const struct relay_task *relay)
{
	return relay_counters_set(relay->counters);
}

/* relay_forward.c: handling of packets, and callbacks of the director. */
void relay_forward_packet(void *context, const struct endpoint *from,
			  const uint8_t *bytes, uint32_t length_bytes);
void relay_forward_emptied(void *context);
void relay_forward_turn(struct relay_task *relay, int64_t now_ms);
void relay_forward_held(struct relay_task *relay);
void relay_forward_resend_opening(void *context,
				  const struct relay_verdict *verdict,
				  const uint8_t *bytes, uint32_t length_bytes);
void relay_forward_settle_opening(void *context,
				  const struct relay_verdict *verdict,
				  const uint8_t *bytes, uint32_t length_bytes);
void relay_forward_flow_moved(void *context, struct hash128 flow_hash,
			      uint32_t tag);
void relay_forward_health_changed(void *context, uint64_t target_id,
				  uint32_t zone_id);
void relay_forward_room_changed(void *context,
				const struct relay_room_change *change);
void relay_forward_isolation_changed(
	void *context, const struct relay_isolation_change *change);
void relay_forward_warmup_changed(void *context,
				  const struct relay_target *entry,
				  bool is_limited);
void relay_forward_zone_changed(void *context,
				const struct relay_zone_change *change);
void relay_forward_zone_report(void *context,
			       const struct relay_zone_report *report);
void relay_forward_target_changed(void *context,
				  const struct relay_target_change *change);
void relay_forward_target_report(void *context,
				 const struct relay_target_report *report);
void relay_forward_retry(void *context);

#endif
