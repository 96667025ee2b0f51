#include "config_propagation.h"

#include <glib.h>

/*
 * A change that has not reached all nodes yet. node_count is the number of
 * nodes that it has reached.
 */
struct pending_change {
	uint64_t revision;
	int64_t start_ms;
	uint32_t node_count;
};

struct config_propagation {
	uint32_t node_count;
	GArray *changes;
	uint64_t complete_count;
	int64_t max_ms;
};

/* Creates an empty record; free it with config_propagation_free. */
struct config_propagation *config_propagation_new(uint32_t node_count)
{
	struct config_propagation *propagation =
		g_new0(struct config_propagation, 1);

	propagation->node_count = node_count;
	propagation->changes =
		g_array_new(FALSE, FALSE, sizeof(struct pending_change));
	return propagation;
}

/* Frees the record; NULL is allowed. */
void config_propagation_free(struct config_propagation *propagation)
{
	if (!propagation)
		return;
	g_array_free(propagation->changes, TRUE);
	g_free(propagation);
}

/* Records that a change has taken effect in the store. */
void config_propagation_add(struct config_propagation *propagation,
			    uint64_t revision, int64_t now_ms)
{
	struct pending_change change = {.revision = revision,
					.start_ms = now_ms};

	g_array_append_val(propagation->changes, change);
}

/* Records that one node has advanced from one revision to another. */
void config_propagation_advance(struct config_propagation *propagation,
				uint64_t from_revision, uint64_t to_revision,
				int64_t now_ms)
{
	for (guint i = propagation->changes->len; i-- > 0;) {
		struct pending_change *change = &g_array_index(
			propagation->changes, struct pending_change, i);

		if (change->revision <= from_revision ||
		    change->revision > to_revision)
			continue;
		if (++change->node_count < propagation->node_count)
			continue;
		propagation->max_ms =
			MAX(propagation->max_ms, now_ms - change->start_ms);
		propagation->complete_count++;
		g_array_remove_index(propagation->changes, i);
	}
}

/*
 * Restarts the timing of pending changes. Called when the store comes back, as
 * an outage does not count as propagation time.
 */
void config_propagation_restart_timers(struct config_propagation *propagation,
				       int64_t now_ms)
{
	for (guint i = 0; i < propagation->changes->len; i++)
		g_array_index(propagation->changes, struct pending_change, i)
			.start_ms = now_ms;
}

/* Returns how many changes have reached every node. */
uint64_t
config_propagation_complete_count(const struct config_propagation *propagation)
{
	return propagation->complete_count;
}

/* Returns the longest propagation time, pending changes excluded. */
int64_t config_propagation_max_ms(const struct config_propagation *propagation)
{
	return propagation->max_ms;
}
