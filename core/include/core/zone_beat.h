#ifndef CORE_ZONE_BEAT_H
#define CORE_ZONE_BEAT_H

#include <core/relay_peer.h>
#include <glib.h>

/*
 * The schedule of a node's short messages to the nodes of other zones, which
 * show there that this zone can be reached. Each goes to one node of each other
 * zone in turn. number counts them, and next_ms is when the next one is due.
 */
struct zone_beat {
	uint32_t number;
	int64_t next_ms;
};

bool zone_beat_is_due(struct zone_beat *beat, int64_t now_ms);
void zone_beat_for_each(const struct zone_beat *beat, const GArray *peers,
			uint32_t own_zone_id, void *context,
			void (*visit)(void *context,
				      const struct relay_peer *peer));

#endif
