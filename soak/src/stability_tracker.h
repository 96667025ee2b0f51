#ifndef STABILITY_TRACKER_H
#define STABILITY_TRACKER_H

#include <soak/soak_fleet_event.h>

/*
 * Tracks disturbances of the nodes and the store. The checker applies its
 * time-bounded invariants, such as the maximum delay of an update, to a node
 * only while the node and the store are stable.
 */
struct stability_tracker;

struct stability_tracker *stability_tracker_new(uint32_t node_count);
void stability_tracker_free(struct stability_tracker *tracker);
void stability_tracker_update(struct stability_tracker *tracker,
			      const struct soak_fleet_event *fleet_event);
bool stability_tracker_is_node_stable(const struct stability_tracker *tracker,
				      uint32_t node, int64_t at_ms);
bool stability_tracker_is_undisturbed(const struct stability_tracker *tracker,
				      int64_t since_ms);

#endif
