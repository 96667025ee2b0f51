#include <core/relay_zone_health.h>

#include <glib.h>

/*
 * Two different targets in a row that do not answer indicate a partition of the
 * zone; one may have failed by itself. A partition lasts for seconds, so trying
 * the zone again every 500 ms costs little.
 */
static const struct relay_health_limits limits = {
	.unanswered_threshold = 2,
	.avoid_ms = 500,
	.avoid_max_ms = 500,
};

struct zone_record {
	uint32_t zone_id;
	uint32_t last_unanswered_tag;
	struct relay_health health;
};

struct relay_zone_health {
	struct zone_record records[RELAY_ZONE_COUNT_MAX];
	uint32_t record_count;
};

/* Creates a tracker without zones. Free it with relay_zone_health_free. */
struct relay_zone_health *relay_zone_health_new(void)
{
	return g_new0(struct relay_zone_health, 1);
}

/* Frees the tracker; NULL is allowed. */
void relay_zone_health_free(struct relay_zone_health *zones)
{
	g_free(zones);
}

static const struct zone_record *find(const struct relay_zone_health *zones,
				      uint32_t zone_id)
{
	for (uint32_t i = 0; i < zones->record_count; i++) {
		if (zones->records[i].zone_id == zone_id)
			return &zones->records[i];
	}
	return NULL;
}

/*
 * Returns NULL for a further zone after RELAY_ZONE_COUNT_MAX; such a zone is
 * never avoided.
 */
static struct zone_record *find_or_add(struct relay_zone_health *zones,
				       uint32_t zone_id)
{
	const struct zone_record *found = find(zones, zone_id);
	struct zone_record *record;

	if (found)
		return &zones->records[found - zones->records];
	if (zones->record_count == RELAY_ZONE_COUNT_MAX)
		return NULL;
	record = &zones->records[zones->record_count++];
	record->zone_id = zone_id;
	return record;
}

/* Records that a target of the zone answered. */
void relay_zone_health_record_answer(struct relay_zone_health *zones,
				     uint32_t zone_id, int64_t now_ms)
{
	struct zone_record *record = find_or_add(zones, zone_id);

	if (!record)
		return;
	record->last_unanswered_tag = 0;
	relay_health_record_answer(&record->health, now_ms);
}

/*
 * Records that a target of the zone did not answer. Returns whether avoidance
 * of the zone begins.
 */
bool relay_zone_health_record_timeout(struct relay_zone_health *zones,
				      uint32_t zone_id, uint32_t tag,
				      int64_t sent_ms, int64_t now_ms)
{
	struct zone_record *record = find_or_add(zones, zone_id);

	if (!record || record->last_unanswered_tag == tag)
		return false;
	record->last_unanswered_tag = tag;
	return relay_health_record_timeout(&record->health, &limits, sent_ms,
					   now_ms);
}

/* Returns whether new flows should go to other zones. */
bool relay_zone_health_is_avoided(const struct relay_zone_health *zones,
				  uint32_t zone_id, int64_t now_ms)
{
	const struct zone_record *record = find(zones, zone_id);

	return record && relay_health_is_avoided(&record->health, now_ms);
}
