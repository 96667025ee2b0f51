#include "relay_update.h"

#include "relay_log.h"

#include <core/relay_tag.h>

/*
 * Returns whether a target differs from its entry in the directory. A snapshot
 * also lists targets that have not changed.
 */
static bool is_change(struct relay_directory *directory,
		      const struct target_change *change)
{
	const struct target *target = &change->target;
	const struct relay_target *entry = relay_directory_find(
		directory, relay_tag_of(target->target_id));

	if (!entry || entry->target.target_id != target->target_id)
		return !change->is_removed;
	if (change->is_removed || entry->removed_ms != 0)
		return change->is_removed != (entry->removed_ms != 0);
	return entry->target.state != target->state ||
	       entry->target.incarnation != target->incarnation ||
	       !endpoint_equal(&entry->target.endpoint, &target->endpoint);
}

/* Applies the changed targets of an update to the directory and logs them. */
void relay_update_apply_targets(struct relay_directory *directory,
				const struct store_update_message *update,
				struct log *log, int64_t now_ms)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < update->changes->len; i++) {
		struct target_change change =
			g_array_index(update->changes, struct target_change, i);

		change.target.state =
			relay_directory_merge_state(directory, &change.target);
		if (is_change(directory, &change))
			relay_log_target(log, &change, update->revision);
		if (change.is_removed) {
			relay_directory_remove(directory,
					       change.target.target_id, now_ms);
			continue;
		}
		g_array_append_val(ids, change.target.target_id);
		if (!relay_directory_put(directory, &change.target,
					 change.warmup_ms, now_ms))
			relay_log_tag_taken(log, &change);
	}
	if (update->is_snapshot)
		relay_directory_remove_unlisted(directory, ids, now_ms);
	g_array_free(ids, TRUE);
}

struct evacuation_log {
	struct log *log;
	int64_t revision;
};

static void on_evacuation(void *context, const struct zone *zone,
			  bool is_evacuated)
{
	const struct evacuation_log *changes = context;

	relay_log_evacuation(changes->log, zone, is_evacuated,
			     changes->revision);
}

/* Applies the list of evacuated zones of an update and logs the changes. */
void relay_update_apply_evacuations(struct relay_evacuations *evacuations,
				    const struct store_update_message *update,
				    struct log *log)
{
	struct evacuation_log changes = {log, update->revision};
	struct relay_evacuations_observer observer = {&changes, on_evacuation};

	relay_evacuations_set(evacuations, update->evacuations, &observer);
}
