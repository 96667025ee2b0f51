#ifndef CORE_RELAY_SILENCE_H
#define CORE_RELAY_SILENCE_H

#include <core/relay_zone_report.h>
#include <glib.h>

/*
 * Tracks which zones are lost to this node: cut off from it as a whole. A zone
 * is lost if for some time nothing has come from it, neither a message of its
 * nodes nor a sign that one of its targets received a packet, while several of
 * its targets leave callers' packets unanswered and another zone is heard. The
 * first sign of life ends that. A pause of the process makes all evidence void.
 */
struct relay_silence;

/*
 * The evidence when a zone is taken for lost, or when it is no longer.
 * silent_ms is how long nothing was heard from it, stalled_count how many of
 * its targets left packets unanswered.
 */
struct relay_zone_change {
	uint32_t zone_id;
	bool is_lost;
	uint32_t silent_ms;
	uint32_t stalled_count;
};

/*
 * own_zone_id is this node's zone, which is never lost to it: its other nodes
 * may just restart. zone_changed is called when a zone is lost or is back.
 * report_due passes on what the other nodes of this node's zone should know.
 * Both may be NULL.
 */
struct relay_silence_options {
	uint32_t own_zone_id;
	void *context;
	void (*zone_changed)(void *context,
			     const struct relay_zone_change *change);
	void (*report_due)(void *context,
			   const struct relay_zone_report *report);
};

/*
 * The signs of life of another zone. is_listed: the store lists nodes of it.
 * is_silent: nothing has come from it for so long that it is cut off or has no
 * node that runs. heard_ms is when the last sign came, or a time before which
 * signs are not known.
 */
struct relay_zone_signs {
	uint32_t zone_id;
	bool is_listed;
	bool is_silent;
	int64_t heard_ms;
};

struct relay_silence *
relay_silence_new(const struct relay_silence_options *options);
void relay_silence_free(struct relay_silence *silence);
void relay_silence_record_message(struct relay_silence *silence,
				  uint32_t zone_id, int64_t now_ms);
void relay_silence_record_life(struct relay_silence *silence, uint32_t zone_id,
			       int64_t life_ms, int64_t now_ms);
void relay_silence_record_stall(struct relay_silence *silence, uint32_t zone_id,
				uint32_t tag, int64_t now_ms);
void relay_silence_handle_report(struct relay_silence *silence,
				 const struct relay_zone_report *content,
				 int64_t now_ms);
bool relay_silence_is_lost(struct relay_silence *silence, uint32_t zone_id,
			   int64_t now_ms);
bool relay_silence_take_trial(struct relay_silence *silence, uint32_t zone_id,
			      int64_t now_ms);
void relay_silence_set_nodes(struct relay_silence *silence, const GArray *peers,
			     int64_t now_ms);
void relay_silence_for_each_other(
	const struct relay_silence *silence, int64_t now_ms, void *context,
	void (*visit)(void *context, const struct relay_zone_signs *signs));
void relay_silence_tick(struct relay_silence *silence, int64_t now_ms);
uint32_t relay_silence_lost_count(const struct relay_silence *silence);

#endif
