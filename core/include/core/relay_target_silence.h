#ifndef CORE_RELAY_TARGET_SILENCE_H
#define CORE_RELAY_TARGET_SILENCE_H

#include <core/relay_target.h>
#include <core/relay_target_report.h>

/*
 * Tracks which targets are silent: a target is silent if several flows had to
 * send data to it again, no node of this zone has seen a sign of life from it
 * for some time, and this node's other exchanges with the target's zone are
 * answered. The first sign of life ends that. A pause of the process, or
 * packets that it reads late, make all evidence void.
 */
struct relay_target_silence;

/*
 * The evidence when a target is taken for silent, or when it no longer is.
 * silent_ms is how long ago the last sign of life was, flow_count how many
 * flows have sent data again since. is_alive: a sign of life ended the silence,
 * which silent_ms and flow_count take into account; otherwise the evidence ran
 * dry or is void.
 */
struct relay_target_change {
	uint64_t target_id;
	uint32_t zone_id;
	bool is_silent;
	bool is_alive;
	uint32_t silent_ms;
	uint32_t flow_count;
	int64_t changed_ms;
};

/*
 * target_changed is called when a target is silent or no longer is. report_due
 * passes on what the other nodes of this node's zone should know. Both may be
 * NULL.
 */
struct relay_target_silence_options {
	void *context;
	void (*target_changed)(void *context,
			       const struct relay_target_change *change);
	void (*report_due)(void *context,
			   const struct relay_target_report *report);
};

struct relay_target_silence *
relay_target_silence_new(const struct relay_target_silence_options *options);
void relay_target_silence_free(struct relay_target_silence *silence);
void relay_target_silence_record_life(struct relay_target_silence *silence,
				      struct relay_target *entry,
				      int64_t life_ms, bool is_prompt,
				      int64_t now_ms);
void relay_target_silence_record_stall(struct relay_target_silence *silence,
				       const struct relay_target *entry,
				       uint32_t flow, bool is_first,
				       int64_t now_ms);
void relay_target_silence_handle_report(
	struct relay_target_silence *silence, const struct relay_target *entry,
	const struct relay_target_report *report, int64_t now_ms);
bool relay_target_silence_is_silent(struct relay_target_silence *silence,
				    const struct relay_target *entry,
				    int64_t now_ms);
bool relay_target_silence_take_trial(struct relay_target_silence *silence,
				     const struct relay_target *entry,
				     int64_t now_ms);
void relay_target_silence_void(struct relay_target_silence *silence,
			       int64_t now_ms);
void relay_target_silence_tick(struct relay_target_silence *silence,
			       int64_t now_ms);
uint32_t relay_target_silence_count(const struct relay_target_silence *silence);

#endif
