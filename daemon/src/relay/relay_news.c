#include "relay_news.h"

#include "relay_log.h"

#include <core/relay_tag.h>

/* A reading of the whole store repeats what is known. */
static bool is_change(struct relay_directory *directory,
		      const struct target_change *change)
{
	const struct target *target = &change->target;
	const struct relay_target *known = relay_directory_find(
		directory, relay_tag_of(target->target_id));

	if (!known || known->target.target_id != target->target_id)
		return !change->is_gone;
	if (change->is_gone || known->gone_ms != 0)
		return change->is_gone != (known->gone_ms != 0);
	return known->target.state != target->state ||
	       known->target.incarnation != target->incarnation ||
	       !endpoint_equal(&known->target.endpoint, &target->endpoint);
}

/* Brings a directory up to date with news, and logs what has changed. */
void relay_news_take_targets(struct relay_directory *directory,
			     const struct news_message *news, struct log *log,
			     int64_t now_ms)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < news->changes->len; i++) {
		const struct target_change *change =
			&g_array_index(news->changes, struct target_change, i);

		if (is_change(directory, change))
			relay_log_target(log, change, news->revision);
		if (change->is_gone) {
			relay_directory_remove(
				directory, change->target.target_id, now_ms);
			continue;
		}
		g_array_append_val(ids, change->target.target_id);
		if (!relay_directory_put(directory, &change->target,
					 change->warmup_ms, now_ms))
			relay_log_tag_taken(log, change);
	}
	if (news->is_whole)
		relay_directory_remove_unlisted(directory, ids, now_ms);
	g_array_free(ids, TRUE);
}
