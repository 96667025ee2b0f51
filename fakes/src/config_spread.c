#include "config_spread.h"

#include <glib.h>

/* A change on its way, and how many nodes have it. */
struct spreading {
	uint64_t revision;
	int64_t start_ms;
	uint32_t node_count;
};

struct config_spread {
	uint32_t node_count;
	GArray *changes;
	uint64_t done_count;
	int64_t max_ms;
};

/* Makes a record of no changes; free it with config_spread_free. */
struct config_spread *config_spread_new(uint32_t node_count)
{
	struct config_spread *spread = g_new0(struct config_spread, 1);

	spread->node_count = node_count;
	spread->changes = g_array_new(FALSE, FALSE, sizeof(struct spreading));
	return spread;
}

/* Frees the record; NULL is allowed. */
void config_spread_free(struct config_spread *spread)
{
	if (!spread)
		return;
	g_array_free(spread->changes, TRUE);
	g_free(spread);
}

/* Notes that a change has taken effect in the store. */
void config_spread_add(struct config_spread *spread, uint64_t revision,
		       int64_t now_ms)
{
	struct spreading change = {.revision = revision, .start_ms = now_ms};

	g_array_append_val(spread->changes, change);
}

/* Notes that one node came from one revision to another. */
void config_spread_reached(struct config_spread *spread, uint64_t from_revision,
			   uint64_t to_revision, int64_t now_ms)
{
	for (guint i = spread->changes->len; i-- > 0;) {
		struct spreading *change =
			&g_array_index(spread->changes, struct spreading, i);

		if (change->revision <= from_revision ||
		    change->revision > to_revision)
			continue;
		if (++change->node_count < spread->node_count)
			continue;
		spread->max_ms = MAX(spread->max_ms, now_ms - change->start_ms);
		spread->done_count++;
		g_array_remove_index(spread->changes, i);
	}
}

/* Starts the clock of unfinished changes anew: the store came back. */
void config_spread_postpone(struct config_spread *spread, int64_t now_ms)
{
	for (guint i = 0; i < spread->changes->len; i++)
		g_array_index(spread->changes, struct spreading, i).start_ms =
			now_ms;
}

/* Returns how many changes have reached every node. */
uint64_t config_spread_done_count(const struct config_spread *spread)
{
	return spread->done_count;
}

/* Returns the longest time a change took, unfinished ones left out. */
int64_t config_spread_max_ms(const struct config_spread *spread)
{
	return spread->max_ms;
}
