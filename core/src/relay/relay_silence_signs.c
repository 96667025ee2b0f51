#include "relay_silence_state.h"

#include <core/relay_peer.h>

/*
 * How long nothing must come from a zone whose nodes are listed, but from which
 * too few messages have come for a mean gap.
 */
#define UNKNOWN_GAP_SILENT_MS 1000

/* Sets the nodes that the store lists, an array of struct relay_peer. */
void relay_silence_set_nodes(struct relay_silence *silence, const GArray *peers,
			     int64_t now_ms)
{
	for (uint32_t i = 0; i < silence->record_count; i++)
		silence->records[i].is_listed = false;
	for (guint i = 0; i < peers->len; i++) {
		uint32_t zone_id =
			g_array_index(peers, struct relay_peer, i).zone_id;
		bool is_known = relay_silence_find(silence, zone_id) != NULL;
		struct relay_silence_record *record =
			relay_silence_find_or_add(silence, zone_id, now_ms);

		if (!record)
			continue;
		record->is_listed = true;
		if (!is_known)
			record->seen_ms = now_ms - OTHER_HEARD_MS;
	}
}

/* Visits the signs of life of all zones but this node's. */
void relay_silence_for_each_other(
	const struct relay_silence *silence, int64_t now_ms, void *context,
	void (*visit)(void *context, const struct relay_zone_signs *signs))
{
	for (uint32_t i = 0; i < silence->record_count; i++) {
		const struct relay_silence_record *record =
			&silence->records[i];
		bool is_gap_known = record->message_count >= MESSAGE_COUNT_MIN;
		struct relay_zone_signs signs = {
			.zone_id = record->zone_id,
			.is_listed = record->is_listed,
			.heard_ms = record->heard_ms,
			.is_silent = is_gap_known
					     ? relay_silence_is_record_silent(
						       record, now_ms)
					     : now_ms - record->heard_ms >=
						       UNKNOWN_GAP_SILENT_MS,
		};

		if (record->zone_id != silence->options.own_zone_id)
			visit(context, &signs);
	}
}
