#include "relay_sought.h"

#include <glib.h>

/* In a larger outage, the flows that were added last are not sought. */
#define FLOW_COUNT_MAX 256

/*
 * A flow is sought at once and again after these intervals, as it may open from
 * a later copy of its opening packet, and as a message may be lost or its
 * receiver not know this node yet.
 */
static const uint16_t interval_ms[] = {200, 400};

struct sought_flow {
	struct hash128 hash;
	int64_t due_ms;
	uint32_t asked_count;
};

struct relay_sought {
	GArray *flows;
};

/* Creates an empty list. Free it with relay_sought_free. */
struct relay_sought *relay_sought_new(void)
{
	struct relay_sought *sought = g_new0(struct relay_sought, 1);

	sought->flows = g_array_new(FALSE, FALSE, sizeof(struct sought_flow));
	return sought;
}

/* Frees the list; NULL is allowed. */
void relay_sought_free(struct relay_sought *sought)
{
	if (!sought)
		return;
	g_array_free(sought->flows, TRUE);
	g_free(sought);
}

static bool is_listed(const struct relay_sought *sought,
		      struct hash128 flow_hash)
{
	for (guint i = 0; i < sought->flows->len; i++) {
		if (hash128_equal(
			    g_array_index(sought->flows, struct sought_flow, i)
				    .hash,
			    flow_hash))
			return true;
	}
	return false;
}

/*
 * Adds a flow, which is due at once, unless it is listed already. A full list
 * is left as it is.
 */
void relay_sought_add(struct relay_sought *sought, struct hash128 flow_hash,
		      int64_t now_ms)
{
	const struct sought_flow flow = {.hash = flow_hash, .due_ms = now_ms};

	if (sought->flows->len < FLOW_COUNT_MAX &&
	    !is_listed(sought, flow_hash))
		g_array_append_val(sought->flows, flow);
}

/* Returns whether the flow is due again later. */
static bool schedule_next(struct sought_flow *flow, int64_t now_ms)
{
	if (flow->asked_count == G_N_ELEMENTS(interval_ms))
		return false;
	flow->due_ms = now_ms + interval_ms[flow->asked_count++];
	return true;
}

/*
 * Writes up to flow_count_max flows that are due, the oldest first, and returns
 * their number. A flow that was returned often enough is removed.
 */
uint32_t relay_sought_take_due(struct relay_sought *sought,
			       struct hash128 *flow_hashes,
			       uint32_t flow_count_max, int64_t now_ms)
{
	uint32_t count = 0;
	guint i = 0;

	while (i < sought->flows->len && count < flow_count_max) {
		struct sought_flow *flow =
			&g_array_index(sought->flows, struct sought_flow, i);

		if (flow->due_ms > now_ms) {
			i++;
			continue;
		}
		flow_hashes[count++] = flow->hash;
		if (schedule_next(flow, now_ms))
			i++;
		else
			g_array_remove_index(sought->flows, i);
	}
	return count;
}
