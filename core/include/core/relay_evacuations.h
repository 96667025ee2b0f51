#ifndef CORE_RELAY_EVACUATIONS_H
#define CORE_RELAY_EVACUATIONS_H

#include <core/zone.h>
#include <glib.h>
#include <stdbool.h>

/* The zones whose targets get no new flow at present. */
struct relay_evacuations;

/* Is told of each zone whose evacuation starts or ends. */
struct relay_evacuations_observer {
	void *context;
	void (*changed)(void *context, const struct zone *zone,
			bool is_evacuated);
};

struct relay_evacuations *relay_evacuations_new(void);
void relay_evacuations_free(struct relay_evacuations *evacuations);
void relay_evacuations_set(struct relay_evacuations *evacuations,
			   const GArray *zones,
			   const struct relay_evacuations_observer *observer);
bool relay_evacuations_contains(const struct relay_evacuations *evacuations,
				uint32_t zone_id);
uint32_t relay_evacuations_count(const struct relay_evacuations *evacuations);

#endif
