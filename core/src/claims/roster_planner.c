#include <core/roster_planner.h>

#include <glib.h>

/* How long a change of the nodes must persist before it starts a new epoch. */
#define STABLE_DELAY_MS 5000

/* The same for a change that keeps less than a majority of the members. */
#define MINORITY_DELAY_MS 60000

/* The members last proposed from the view, the same since proposed_since_ms. */
struct roster_planner {
	struct roster_epoch proposed;
	int64_t proposed_since_ms;
	bool has_proposed;
};

/* Creates a planner. Free it with roster_planner_free. */
struct roster_planner *roster_planner_new(void)
{
	return g_new0(struct roster_planner, 1);
}

/* Frees the planner; NULL is allowed. */
void roster_planner_free(struct roster_planner *planner)
{
	g_free(planner);
}

static bool is_member(const struct roster_epoch *epoch, uint64_t node_id)
{
	return roster_epoch_has(epoch, node_id);
}

static bool has_same_nodes(const struct roster_epoch *a,
			   const struct roster_epoch *b)
{
	if (a->member_count != b->member_count)
		return false;
	for (uint32_t i = 0; i < a->member_count; i++) {
		if (a->members[i].node_id != b->members[i].node_id)
			return false;
	}
	return true;
}

/* A new member must be serving; a current one may be suspect or cut off. */
static bool is_eligible(const struct node *node, const struct roster *current)
{
	bool is_current = current->epoch_count > 0 &&
			  is_member(&current->epochs[0], node->node_id);

	return node->state == NODE_SERVING ||
	       (is_current &&
		(node->state == NODE_SUSPECT || node->state == NODE_CUT_OFF));
}

static void add_member(struct roster_epoch *proposed, const struct node *node)
{
	struct roster_member *member =
		&proposed->members[proposed->member_count++];

	member->node_id = node->node_id;
	member->zone_id = node->zone_id;
}

static uint32_t count_in_zone(const struct roster_epoch *proposed,
			      uint32_t zone_id)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < proposed->member_count; i++)
		count += proposed->members[i].zone_id == zone_id ? 1 : 0;
	return count;
}

/* Picks an eligible node from the zone with the fewest proposed members. */
static const struct node *pick_node(const struct roster_epoch *proposed,
				    const struct roster *current,
				    const struct node_view *view)
{
	const struct node *best = NULL;
	uint32_t best_count = UINT32_MAX;

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		const struct node *node = node_view_at(view, i);
		uint32_t count = count_in_zone(proposed, node->zone_id);

		if (!is_eligible(node, current) ||
		    is_member(proposed, node->node_id) || count >= best_count)
			continue;
		best = node;
		best_count = count;
	}
	return best;
}

/* Keeps eligible current members, then adds nodes balanced over zones. */
static struct roster_epoch propose_members(const struct roster *current,
					   const struct node_view *view)
{
	struct roster_epoch proposed = {.member_count = 0};
	const struct node *node;

	for (uint32_t i = 0; i < node_view_count(view); i++) {
		node = node_view_at(view, i);
		if (current->epoch_count > 0 && is_eligible(node, current) &&
		    is_member(&current->epochs[0], node->node_id))
			add_member(&proposed, node);
	}
	while (proposed.member_count < ROSTER_MEMBERS_MAX &&
	       (node = pick_node(&proposed, current, view)) != NULL)
		add_member(&proposed, node);
	return proposed;
}

static bool keeps_majority(const struct roster *current,
			   const struct roster_epoch *proposed)
{
	uint32_t count = 0;

	if (current->epoch_count == 0)
		return true;
	for (uint32_t i = 0; i < proposed->member_count; i++)
		count += is_member(&current->epochs[0],
				   proposed->members[i].node_id)
				 ? 1
				 : 0;
	return count >= roster_majority(current->epochs[0].member_count);
}

/*
 * Creates the roster that should replace the current one, which has epoch_count
 * 0 when there is none. Returns false while the members are the same or the
 * change has not persisted for STABLE_DELAY_MS. A change that keeps less than a
 * majority of the current members must persist for MINORITY_DELAY_MS, because
 * this node may be on the minority side of a partition.
 */
bool roster_planner_next(struct roster_planner *planner, struct roster *next,
			 const struct roster *current,
			 const struct node_view *view, int64_t now_ms)
{
	struct roster_epoch proposed = propose_members(current, view);
	int64_t wait_ms = keeps_majority(current, &proposed)
				  ? STABLE_DELAY_MS
				  : MINORITY_DELAY_MS;

	if (!planner->has_proposed ||
	    !has_same_nodes(&planner->proposed, &proposed)) {
		planner->proposed = proposed;
		planner->proposed_since_ms = now_ms;
		planner->has_proposed = true;
	}
	if (now_ms - planner->proposed_since_ms < wait_ms)
		return false;
	return roster_next(next, current->epoch_count > 0 ? current : NULL,
			   proposed.members, proposed.member_count);
}
