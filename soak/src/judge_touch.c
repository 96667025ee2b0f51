#include "judge_touch.h"

#include <glib.h>

/*
 * How long without disturbance until bounds hold: the time in which changes
 * must be in force everywhere, by the two years' target.
 */
#define STABLE_MS 4000

/* Disturbances may overlap; the last one that ends counts. */
struct disturbance {
	uint32_t depth;
	int64_t ended_ms;
};

struct judge_touch {
	uint32_t node_count;
	struct disturbance *nodes;
	struct disturbance store;
	/* Everything that was not planned, whatever it struck. */
	struct disturbance unplanned;
};

/* Makes a record of nodes that were never disturbed. */
struct judge_touch *judge_touch_new(uint32_t node_count)
{
	struct judge_touch *touch = g_new0(struct judge_touch, 1);

	touch->node_count = node_count;
	touch->nodes = g_new0(struct disturbance, node_count);
	return touch;
}

/* Frees a record. */
void judge_touch_free(struct judge_touch *touch)
{
	g_free(touch->nodes);
	g_free(touch);
}

static void begin(struct disturbance *disturbance)
{
	disturbance->depth++;
}

static void end(struct disturbance *disturbance, int64_t at_ms)
{
	if (disturbance->depth > 0)
		disturbance->depth--;
	disturbance->ended_ms = at_ms;
}

static bool is_stable(const struct disturbance *disturbance, int64_t at_ms)
{
	return disturbance->depth == 0 &&
	       (disturbance->ended_ms == 0 ||
		at_ms - disturbance->ended_ms >= STABLE_MS);
}

static void note_one(struct judge_touch *touch, struct disturbance *subject,
		     const struct soak_fact *fact, bool is_begin)
{
	if (is_begin)
		begin(subject);
	else
		end(subject, fact->at_ms);
	if (fact->is_planned)
		return;
	if (is_begin)
		begin(&touch->unplanned);
	else
		end(&touch->unplanned, fact->at_ms);
}

/* Notes what a fact says of disturbances; others are ignored. */
void judge_touch_note(struct judge_touch *touch, const struct soak_fact *fact)
{
	switch (fact->kind) {
	case SOAK_NODE_DISTURBED:
	case SOAK_NODE_CALM:
		note_one(touch,
			 &touch->nodes[fact->subject % touch->node_count], fact,
			 fact->kind == SOAK_NODE_DISTURBED);
		return;
	case SOAK_STORE_DISTURBED:
	case SOAK_STORE_CALM:
		note_one(touch, &touch->store, fact,
			 fact->kind == SOAK_STORE_DISTURBED);
		return;
	case SOAK_HOST_GONE:
		if (fact->is_planned)
			return;
		begin(&touch->unplanned);
		end(&touch->unplanned, fact->at_ms);
		return;
	default:
		return;
	}
}

/* Tells whether bounds hold for what a node does at that time. */
bool judge_touch_has_node(const struct judge_touch *touch, uint32_t node,
			  int64_t at_ms)
{
	return node < touch->node_count &&
	       is_stable(&touch->nodes[node], at_ms) &&
	       is_stable(&touch->store, at_ms);
}

/* Tells whether nothing unplanned has come up since some time before then. */
bool judge_touch_is_calm(const struct judge_touch *touch, int64_t since_ms)
{
	return is_stable(&touch->unplanned, since_ms);
}
