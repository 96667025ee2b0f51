#include <core/relay_evacuations.h>

/* zones contains struct zone. There are few, so it is searched in order. */
struct relay_evacuations {
	GArray *zones;
};

/* Creates an empty set. Free it with relay_evacuations_free. */
struct relay_evacuations *relay_evacuations_new(void)
{
	struct relay_evacuations *evacuations =
		g_new0(struct relay_evacuations, 1);

	evacuations->zones = g_array_new(FALSE, FALSE, sizeof(struct zone));
	return evacuations;
}

/* Frees the set; NULL is allowed. */
void relay_evacuations_free(struct relay_evacuations *evacuations)
{
	if (!evacuations)
		return;
	g_array_free(evacuations->zones, TRUE);
	g_free(evacuations);
}

static bool contains(const GArray *zones, uint32_t zone_id)
{
	for (guint i = 0; i < zones->len; i++) {
		if (g_array_index(zones, struct zone, i).zone_id == zone_id)
			return true;
	}
	return false;
}

/* Reports the zones of list that are not in other. */
static void report(const GArray *list, const GArray *other, bool is_evacuated,
		   const struct relay_evacuations_observer *observer)
{
	for (guint i = 0; i < list->len; i++) {
		const struct zone *zone = &g_array_index(list, struct zone, i);

		if (!contains(other, zone->zone_id))
			observer->changed(observer->context, zone,
					  is_evacuated);
	}
}

/* Replaces the set by zones (struct zone), a complete list, and copies it. */
void relay_evacuations_set(struct relay_evacuations *evacuations,
			   const GArray *zones,
			   const struct relay_evacuations_observer *observer)
{
	report(zones, evacuations->zones, true, observer);
	report(evacuations->zones, zones, false, observer);
	g_array_set_size(evacuations->zones, 0);
	if (zones->len > 0)
		g_array_append_vals(evacuations->zones, zones->data,
				    zones->len);
}

/* Returns whether the targets of a zone get no new flow. */
bool relay_evacuations_contains(const struct relay_evacuations *evacuations,
				uint32_t zone_id)
{
	return contains(evacuations->zones, zone_id);
}

/* Returns the number of zones. */
uint32_t relay_evacuations_count(const struct relay_evacuations *evacuations)
{
	return evacuations->zones->len;
}
