#include "soak_evacuations.h"

#include "node_settings.h"

#include <task/task.h>

struct soak_evacuations {
	struct soak_evacuations_options options;
	bool is_evacuated[SOAK_ZONE_COUNT];
};

/*
 * Creates the evacuations, without one that has begun. What the options point
 * to must outlive them. Free them with soak_evacuations_free.
 */
struct soak_evacuations *
soak_evacuations_new(const struct soak_evacuations_options *options)
{
	struct soak_evacuations *evacuations =
		g_new0(struct soak_evacuations, 1);

	evacuations->options = *options;
	return evacuations;
}

/* Frees the evacuations; NULL is allowed. */
void soak_evacuations_free(struct soak_evacuations *evacuations)
{
	g_free(evacuations);
}

static void post_zone_event(const struct soak_evacuations *evacuations,
			    uint32_t zone)
{
	bool is_evacuated = evacuations->is_evacuated[zone];
	struct soak_fleet_event fleet_event = {
		.kind = is_evacuated ? SOAK_FLEET_EVENT_ZONE_EVACUATED
				     : SOAK_FLEET_EVENT_ZONE_RESTORED,
		.at_ms = task_now_ms(),
		.zone = zone,
		.is_planned = true,
	};
	struct faulty_node_evacuation evacuation = {zone, is_evacuated};

	checker_task_post_fleet_event(evacuations->options.checker,
				      &fleet_event);
	if (evacuations->options.faulty_node)
		faulty_node_set_evacuation(evacuations->options.faulty_node,
					   &evacuation);
}

static void write_key(const struct soak_evacuations *evacuations, uint32_t zone)
{
	char *key = g_strdup_printf("op/evacuate/%s", node_settings_zone(zone));

	if (evacuations->is_evacuated[zone])
		fake_kv_put(evacuations->options.kv, key, "{}");
	else
		fake_kv_remove(evacuations->options.kv, key);
	g_free(key);
}

/* Takes back an evacuation; new flows may reach the zone from then on. */
static void end_evacuation(void *context, uint32_t subject, int64_t now_ms)
{
	struct soak_evacuations *evacuations = context;

	evacuations->is_evacuated[subject] = false;
	post_zone_event(evacuations, subject);
	write_key(evacuations, subject);
	soak_hosts_set_evacuated(evacuations->options.hosts, subject, false);
}

static bool is_any_evacuated(const struct soak_evacuations *evacuations)
{
	for (uint32_t i = 0; i < SOAK_ZONE_COUNT; i++) {
		if (evacuations->is_evacuated[i])
			return true;
	}
	return false;
}

/*
 * Evacuates the zone that subject selects, for the duration. Does nothing while
 * a zone is evacuated, or if a service would have no host left.
 */
void soak_evacuations_begin(struct soak_evacuations *evacuations,
			    uint32_t subject, uint32_t duration_ms,
			    int64_t now_ms)
{
	uint32_t zone = subject % SOAK_ZONE_COUNT;
	struct soak_timer end = {now_ms + duration_ms, evacuations, zone,
				 end_evacuation};

	if (is_any_evacuated(evacuations) ||
	    !soak_hosts_can_evacuate(evacuations->options.hosts, zone))
		return;
	evacuations->is_evacuated[zone] = true;
	write_key(evacuations, zone);
	post_zone_event(evacuations, zone);
	soak_hosts_set_evacuated(evacuations->options.hosts, zone, true);
	soak_timers_add(evacuations->options.timers, &end);
}
