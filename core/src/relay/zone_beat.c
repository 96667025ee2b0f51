#include <core/zone_beat.h>

#include <core/relay_zone_health.h>

/* As a zone's nodes take turns, a node hears each zone about this often. */
#define BEAT_INTERVAL_MS 150

/* A zone and the number of its nodes, at first all, then those not passed. */
struct zone_count {
	uint32_t zone_id;
	uint32_t node_count;
};

/* Returns whether a message is due now, and schedules the next one. */
bool zone_beat_is_due(struct zone_beat *beat, int64_t now_ms)
{
	if (now_ms < beat->next_ms)
		return false;
	beat->next_ms = now_ms + BEAT_INTERVAL_MS;
	beat->number++;
	return true;
}

/* Returns NULL for a further zone after RELAY_ZONE_COUNT_MAX. */
static struct zone_count *find_or_add(struct zone_count *counts,
				      uint32_t *count, uint32_t zone_id)
{
	for (uint32_t i = 0; i < *count; i++) {
		if (counts[i].zone_id == zone_id)
			return &counts[i];
	}
	if (*count == RELAY_ZONE_COUNT_MAX)
		return NULL;
	counts[*count] = (struct zone_count){.zone_id = zone_id};
	return &counts[(*count)++];
}

/*
 * Calls visit for the nodes that get the current message, among peers, an array
 * of struct relay_peer.
 */
void zone_beat_for_each(const struct zone_beat *beat, const GArray *peers,
			uint32_t own_zone_id, void *context,
			void (*visit)(void *context,
				      const struct relay_peer *peer))
{
	struct zone_count counts[RELAY_ZONE_COUNT_MAX];
	struct zone_count *zone;
	uint32_t count = 0;

	for (guint i = 0; i < peers->len; i++) {
		zone = find_or_add(
			counts, &count,
			g_array_index(peers, struct relay_peer, i).zone_id);
		if (zone)
			zone->node_count++;
	}
	for (uint32_t i = 0; i < count; i++)
		counts[i].node_count = beat->number % counts[i].node_count;
	for (guint i = 0; i < peers->len; i++) {
		const struct relay_peer *peer =
			&g_array_index(peers, struct relay_peer, i);

		zone = find_or_add(counts, &count, peer->zone_id);
		if (zone && zone->node_count-- == 0 &&
		    peer->zone_id != own_zone_id)
			visit(context, peer);
	}
}
