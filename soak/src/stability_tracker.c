#include "stability_tracker.h"

#include <glib.h>

/*
 * Time without disturbance after which time bounds hold: the maximum update
 * delay to all nodes, by the capacity target of the fleet.
 */
#define STABLE_AFTER_MS 4000

/* Overlapping disturbances; stability is measured from the end of the last. */
struct disturbance {
	uint32_t depth;
	int64_t ended_ms;
};

struct stability_tracker {
	uint32_t node_count;
	struct disturbance *nodes;
	struct disturbance store;
	/* All unplanned disturbances, of nodes, hosts and the store. */
	struct disturbance unplanned;
};

/* Creates a tracker. Free it with stability_tracker_free. */
struct stability_tracker *stability_tracker_new(uint32_t node_count)
{
	struct stability_tracker *tracker = g_new0(struct stability_tracker, 1);

	tracker->node_count = node_count;
	tracker->nodes = g_new0(struct disturbance, node_count);
	return tracker;
}

/* Frees the tracker. */
void stability_tracker_free(struct stability_tracker *tracker)
{
	g_free(tracker->nodes);
	g_free(tracker);
}

static void begin_disturbance(struct disturbance *disturbance)
{
	disturbance->depth++;
}

static void end_disturbance(struct disturbance *disturbance, int64_t at_ms)
{
	if (disturbance->depth > 0)
		disturbance->depth--;
	disturbance->ended_ms = at_ms;
}

static bool is_stable(const struct disturbance *disturbance, int64_t at_ms)
{
	return disturbance->depth == 0 &&
	       (disturbance->ended_ms == 0 ||
		at_ms - disturbance->ended_ms >= STABLE_AFTER_MS);
}

static void update_disturbance(struct stability_tracker *tracker,
			       struct disturbance *subject,
			       const struct soak_fleet_event *fleet_event,
			       bool is_begin)
{
	if (is_begin)
		begin_disturbance(subject);
	else
		end_disturbance(subject, fleet_event->at_ms);
	if (fleet_event->is_planned)
		return;
	if (is_begin)
		begin_disturbance(&tracker->unplanned);
	else
		end_disturbance(&tracker->unplanned, fleet_event->at_ms);
}

/* Applies events that begin or end a disturbance; ignores all others. */
void stability_tracker_update(struct stability_tracker *tracker,
			      const struct soak_fleet_event *fleet_event)
{
	switch (fleet_event->kind) {
	case SOAK_FLEET_EVENT_NODE_DISTURBED:
	case SOAK_FLEET_EVENT_NODE_RESTORED:
		update_disturbance(tracker,
				   &tracker->nodes[fleet_event->subject %
						   tracker->node_count],
				   fleet_event,
				   fleet_event->kind ==
					   SOAK_FLEET_EVENT_NODE_DISTURBED);
		return;
	case SOAK_FLEET_EVENT_STORE_DISTURBED:
	case SOAK_FLEET_EVENT_STORE_RESTORED:
		update_disturbance(tracker, &tracker->store, fleet_event,
				   fleet_event->kind ==
					   SOAK_FLEET_EVENT_STORE_DISTURBED);
		return;
	case SOAK_FLEET_EVENT_HOST_STOPPED:
		if (fleet_event->is_planned)
			return;
		begin_disturbance(&tracker->unplanned);
		end_disturbance(&tracker->unplanned, fleet_event->at_ms);
		return;
	default:
		return;
	}
}

/* Returns whether time bounds hold at at_ms for the node. */
bool stability_tracker_is_node_stable(const struct stability_tracker *tracker,
				      uint32_t node, int64_t at_ms)
{
	return node < tracker->node_count &&
	       is_stable(&tracker->nodes[node], at_ms) &&
	       is_stable(&tracker->store, at_ms);
}

/*
 * Returns whether no unplanned disturbance is in progress or has ended later
 * than STABLE_AFTER_MS before since_ms.
 */
bool stability_tracker_is_undisturbed(const struct stability_tracker *tracker,
				      int64_t since_ms)
{
	return is_stable(&tracker->unplanned, since_ms);
}
