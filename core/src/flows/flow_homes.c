#include "flow_director_state.h"

/* A change from one view of the nodes to the next. */
struct view_change {
	const struct home_map *old_homes;
	const struct node_view *old_view;
	/* Nodes that serve again without having joined, as after a cut. */
	GArray *returned;
	int64_t now_ms;
};

static enum node_state state_in(const struct node_view *view, uint64_t node_id)
{
	const struct node *node = view ? node_view_find(view, node_id) : NULL;

	return node ? node->state : NODE_DEAD;
}

/* Tells whether a node still answers, whatever it is home of. */
static bool is_reachable(const struct node_view *view, uint64_t node_id)
{
	enum node_state state = state_in(view, node_id);

	return node_id != NODE_NONE && state != NODE_DEAD &&
	       state != NODE_CUT_OFF;
}

static bool is_owner(const struct slot_homes *homes, uint64_t self_id,
		     enum node_state self_state)
{
	if (self_state == NODE_JOINING)
		return homes->next_home == self_id;
	return homes->home == self_id;
}

/*
 * Says who may hold records of a slot that this node has become home of: the
 * former home if it answers, else the mirror of that one.
 */
static uint64_t source_of(const struct flow_director *director,
			  const struct director_slot *slot,
			  const struct view_change *change,
			  const struct slot_homes *old,
			  const struct slot_homes *new)
{
	/* It has told all that it knew before this view arrived. */
	if (old && old->home != NODE_NONE && slot->learned_from == old->home &&
	    slot->base_until_ms > change->now_ms)
		return NODE_NONE;
	if (!old || state_in(director->view, director->self_id) == NODE_JOINING)
		return new->home != director->self_id &&new->home !=
				       slot->learned_from
			       ? new->home
			       : NODE_NONE;
	if (old->home != director->self_id &&
	    is_reachable(director->view, old->home))
		return old->home;
	if (old->mirror != director->self_id &&
	    is_reachable(director->view, old->mirror))
		return old->mirror;
	return NODE_NONE;
}

static void set_pending(struct director_slot *slot, uint64_t node_id,
			int64_t now_ms)
{
	slot->pending_from = node_id;
	slot->pending_since_ms = now_ms;
}

/*
 * A node that joins learns from the home. When that changes before it has told
 * all, it tells the next home instead, which may have spoken already.
 */
static bool has_other_teacher(const struct director_slot *slot,
			      uint64_t self_id, enum node_state self,
			      const struct slot_homes *old,
			      const struct slot_homes *new)
{
	bool is_waiting = slot->learned_from == NODE_NONE ||
			  slot->pending_from != NODE_NONE;

	return self == NODE_JOINING && old && old->home != new->home &&
	       old->home != self_id &&is_waiting;
}

static void learn(struct flow_director *director, struct director_slot *slot,
		  uint16_t number, const struct view_change *change,
		  const struct slot_homes *old, const struct slot_homes *new)
{
	enum node_state old_self =
		state_in(change->old_view, director->self_id);
	enum node_state self = state_in(director->view, director->self_id);
	bool was_owner = old && is_owner(old, director->self_id, old_self);
	uint64_t returned = home_map_first_of(
		(const uint64_t *)(void *)change->returned->data,
		change->returned->len, number);

	if (slot->pending_from != NODE_NONE &&
	    !is_reachable(director->view, slot->pending_from))
		slot->pending_from = NODE_NONE;
	if (!is_owner(new, director->self_id, self)) {
		slot->pending_from = NODE_NONE;
		return;
	}
	if (!was_owner ||
	    has_other_teacher(slot, director->self_id, self, old, new))
		set_pending(slot, source_of(director, slot, change, old, new),
			    change->now_ms);
	else if (returned != NODE_NONE)
		set_pending(slot, returned, change->now_ms);
}

/* Says which node this one must hand a slot's records to now, if any. */
static uint64_t receiver_of(const struct flow_director *director,
			    const struct director_slot *slot,
			    const struct slot_homes *old,
			    const struct slot_homes *new)
{
	uint64_t self_id = director->self_id;
	bool was_mine =
		old && (old->home == self_id || slot->given_to != NODE_NONE);
	bool is_heir = old && old->mirror == self_id &&
		       !is_reachable(director->view, old->home);

	if (new->home == self_id)
		return new->next_home == self_id ? NODE_NONE : new->next_home;
	/* Where all nodes joined at once, the first to serve is home for now.
	 */
	if (new->next_home == self_id)
		return NODE_NONE;
	/* It has all records and will be home soon, whoever is until then. */
	if (slot->handover == HANDOVER_TAKEN &&
	    slot->given_to == new->next_home)
		return slot->given_to;
	return was_mine || is_heir ? new->home : NODE_NONE;
}

static void give(struct flow_director *director, struct director_slot *slot,
		 const struct slot_homes *old, const struct slot_homes *new)
{
	uint64_t given_to = receiver_of(director, slot, old, new);

	if (given_to == slot->given_to)
		return;
	slot->given_to = given_to;
	slot->learned_from = NODE_NONE;
	director->has_handovers = true;
	slot->handover =
		given_to == NODE_NONE ? HANDOVER_NONE : HANDOVER_RUNNING;
}

/*
 * A home that died soon after a change of rules may not have mirrored all that
 * the change made exceptions. What it did not mirror are flows from before the
 * change, as those opened later were sent at once: so the pools before it are
 * the better guess.
 */
static void doubt_rules(const struct flow_director *director,
			struct director_slot *slot,
			const struct slot_homes *old, int64_t now_ms)
{
	if (!old || is_reachable(director->view, old->home) ||
	    now_ms - director->rules_changed_ms >= UNEVEN_MS ||
	    slot->base_until_ms > now_ms || director->earlier_revision == 0)
		return;
	slot->base_revision = director->earlier_revision;
	slot->base_until_ms = now_ms + flow_state_timeout_ms(FLOW_ESTABLISHED);
}

static void change_slot(struct flow_director *director, uint16_t number,
			const struct view_change *change)
{
	struct director_slot *slot = &director->slots[number];
	const struct slot_homes *new = home_map_at(director->homes, number);
	const struct slot_homes *old =
		change->old_homes ? home_map_at(change->old_homes, number)
				  : NULL;
	uint64_t given_before = slot->given_to;

	doubt_rules(director, slot, old, change->now_ms);
	learn(director, slot, number, change, old, new);
	give(director, slot, old, new);
	director->home_slot_count += new->home == director->self_id;
	if (old && old->home == new->home &&
	    old->mirror == new->mirror &&given_before == slot->given_to)
		return;
	slot->epoch = slot->epoch == UINT8_MAX ? 1 : slot->epoch + 1;
}

static GArray *find_returned(const struct flow_director *director,
			     const struct node_view *old_view)
{
	GArray *returned = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (uint32_t i = 0; old_view && i < node_view_count(director->view);
	     i++) {
		const struct node *node = node_view_at(director->view, i);

		if (node->node_id != director->self_id &&
		    home_node_is_live(node) &&
		    !is_reachable(old_view, node->node_id))
			g_array_append_val(returned, node->node_id);
	}
	return returned;
}

static void forget_dead(struct flow_director *director,
			const struct node_view *old_view)
{
	for (uint32_t i = 0; old_view && i < node_view_count(old_view); i++) {
		uint64_t node_id = node_view_at(old_view, i)->node_id;

		if (!is_reachable(director->view, node_id))
			flow_outbox_forget(director->outbox, node_id);
	}
}

static struct node_view *adopt_view(const struct flow_director *director,
				    const struct node_view *view)
{
	uint32_t count = node_view_count(view);
	struct node *nodes = g_new0(struct node, count + 1);
	struct node_view *own;

	for (uint32_t i = 0; i < count; i++) {
		nodes[i] = *node_view_at(view, i);
		if (director->is_leaving &&
		    nodes[i].node_id == node_view_self_id(view))
			nodes[i].state = NODE_LEAVING;
	}
	own = node_view_new(node_view_self_id(view), node_view_version(view),
			    nodes, count);
	g_free(nodes);
	return own;
}

/*
 * A node that woke from a pause counts itself as joining until others have told
 * what became of it; until then it stays stale.
 */
static void follow_self_state(struct flow_director *director)
{
	enum node_state state = state_in(director->view, director->self_id);

	director->is_stale = director->is_stale && state == NODE_JOINING;
	director->is_out = state == NODE_DEAD;
	if (director->is_out)
		flow_director_forget_all(director);
}

static bool is_alone(const struct flow_director *director)
{
	for (uint32_t i = 0; i < node_view_count(director->view); i++) {
		if (home_node_is_live(node_view_at(director->view, i)))
			return false;
	}
	return true;
}

/*
 * Follows a new view of the nodes; the director keeps a copy. Slots that
 * change homes are handed over or learned, and the records that must be known
 * elsewhere are sent there within the byte budget. A node that was paused
 * decides again from the first view that it gets afterwards; if that says that
 * it was declared dead, it starts with no records.
 */
void flow_director_set_nodes(struct flow_director *director,
			     const struct node_view *view, int64_t now_ms)
{
	struct node_view *old_view = director->view;
	struct home_map *old_homes = director->homes;
	struct view_change change = {
		.old_homes = old_homes, .old_view = old_view, .now_ms = now_ms};

	director->now_ms = now_ms;
	director->last_event_ms = now_ms;
	director->view = adopt_view(director, view);
	director->self_id = node_view_self_id(view);
	director->homes = home_map_new(director->view);
	director->home_slot_count = 0;
	change.returned = find_returned(director, old_view);
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++)
		change_slot(director, (uint16_t)i, &change);
	follow_self_state(director);
	forget_dead(director, old_view);
	g_hash_table_remove_all(director->prepared);
	flow_director_start_pass(director);
	g_array_free(change.returned, TRUE);
	node_view_free(old_view);
	home_map_free(old_homes);
}

/*
 * Begins to leave: new flows go to the next homes at once, and the records
 * are handed over. flow_director_may_stop tells when that is done.
 */
void flow_director_leave(struct flow_director *director, int64_t now_ms)
{
	struct node_view *view;

	if (director->is_leaving)
		return;
	director->is_leaving = true;
	director->left_ms = now_ms;
	director->may_stop = director->view == NULL;
	if (!director->view)
		return;
	view = node_view_copy(director->view);
	flow_director_set_nodes(director, view, now_ms);
	node_view_free(view);
	/* Nobody is there to take over, nor to learn that this node leaves. */
	director->may_stop = is_alone(director);
}
