#include "flow_director_state.h"

/* The change from one view of the nodes to the next. */
struct view_change {
	const struct home_map *old_homes;
	const struct node_view *old_view;
	/* Nodes that serve again without rejoining, as after a partition. */
	GArray *returned_node_ids;
	int64_t now_ms;
};

static enum node_state node_state_in(const struct node_view *view,
				     uint64_t node_id)
{
	const struct node *node = view ? node_view_find(view, node_id) : NULL;

	return node ? node->state : NODE_DEAD;
}

/* Returns whether a node is in the view and neither dead nor cut off. */
static bool is_reachable(const struct node_view *view, uint64_t node_id)
{
	enum node_state state = node_state_in(view, node_id);

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
 * Returns the node that may hold records of a slot whose home this node has
 * become: the previous home if it is reachable, else its mirror. A joining node
 * receives them from the current home.
 */
static uint64_t find_sync_source(const struct flow_director *director,
				 const struct director_slot *slot,
				 const struct view_change *change,
				 const struct slot_homes *previous,
				 const struct slot_homes *current)
{
	/* The previous home completed its handover before this view arrived. */
	if (previous && previous->home != NODE_NONE &&
	    handover_senders_contains(&slot->synced_from, previous->home) &&
	    slot->base_until_ms > change->now_ms)
		return NODE_NONE;
	if (!previous ||
	    node_state_in(director->view, director->self_id) == NODE_JOINING)
		return current->home != director->self_id &&
				       !handover_senders_contains(
					       &slot->synced_from,
					       current->home)
			       ? current->home
			       : NODE_NONE;
	if (previous->home != director->self_id &&
	    is_reachable(director->view, previous->home))
		return previous->home;
	if (previous->mirror != director->self_id &&
	    is_reachable(director->view, previous->mirror))
		return previous->mirror;
	return NODE_NONE;
}

static void set_pending(struct director_slot *slot, uint64_t node_id,
			int64_t now_ms)
{
	slot->pending_from = node_id;
	slot->pending_since_ms = now_ms;
}

/*
 * A joining node gets its records from the home. If the home changes before the
 * handover is complete, the previous home hands over to the new home instead,
 * and the new home may already have completed its own handover to this node.
 */
static bool has_new_sync_source(const struct director_slot *slot,
				uint64_t self_id, enum node_state self_state,
				const struct slot_homes *previous,
				const struct slot_homes *current)
{
	bool is_waiting = handover_senders_is_empty(&slot->synced_from) ||
			  slot->pending_from != NODE_NONE;

	return self_state == NODE_JOINING && previous &&
	       previous->home != current->home && previous->home != self_id &&
	       is_waiting;
}

static void update_sync_source(struct flow_director *director,
			       struct director_slot *slot, uint16_t slot_number,
			       const struct view_change *change,
			       const struct slot_homes *previous,
			       const struct slot_homes *current)
{
	enum node_state old_self_state =
		node_state_in(change->old_view, director->self_id);
	enum node_state self_state =
		node_state_in(director->view, director->self_id);
	bool was_owner = previous &&
			 is_owner(previous, director->self_id, old_self_state);
	uint64_t returned_node_id = home_map_highest_ranked(
		(const uint64_t *)(void *)change->returned_node_ids->data,
		change->returned_node_ids->len, slot_number);

	if (slot->pending_from != NODE_NONE &&
	    !is_reachable(director->view, slot->pending_from))
		slot->pending_from = NODE_NONE;
	if (!is_owner(current, director->self_id, self_state)) {
		slot->pending_from = NODE_NONE;
		return;
	}
	if (!was_owner || has_new_sync_source(slot, director->self_id,
					      self_state, previous, current))
		set_pending(slot,
			    find_sync_source(director, slot, change, previous,
					     current),
			    change->now_ms);
	else if (returned_node_id != NODE_NONE)
		set_pending(slot, returned_node_id, change->now_ms);
}

/* Returns the node to which this one must hand over a slot, or NODE_NONE. */
static uint64_t find_handover_receiver(const struct flow_director *director,
				       const struct director_slot *slot,
				       const struct slot_homes *previous,
				       const struct slot_homes *current)
{
	uint64_t self_id = director->self_id;
	bool was_home_or_handing_over =
		previous &&
		(previous->home == self_id || slot->handover_to != NODE_NONE);
	bool is_mirror_of_lost_home =
		previous && previous->mirror == self_id &&
		!is_reachable(director->view, previous->home);

	if (current->home == self_id)
		return current->next_home == self_id ? NODE_NONE
						     : current->next_home;
	/* If all nodes join at once, the first to serve is home temporarily. */
	if (current->next_home == self_id)
		return NODE_NONE;
	/* That node has all records and becomes the home in a later view. */
	if (slot->handover == HANDOVER_ACKED &&
	    slot->handover_to == current->next_home)
		return slot->handover_to;
	return was_home_or_handing_over || is_mirror_of_lost_home
		       ? current->home
		       : NODE_NONE;
}

static void update_handover(struct flow_director *director,
			    struct director_slot *slot,
			    const struct slot_homes *previous,
			    const struct slot_homes *current)
{
	uint64_t handover_to =
		find_handover_receiver(director, slot, previous, current);

	if (handover_to == slot->handover_to)
		return;
	slot->handover_to = handover_to;
	slot->synced_from = (struct handover_senders){{NODE_NONE}};
	director->has_running_handovers = true;
	slot->handover =
		handover_to == NODE_NONE ? HANDOVER_NONE : HANDOVER_RUNNING;
}

/*
 * If a home dies within CONFIG_SKEW_MAX_MS of a rule change, it may not have
 * mirrored all flows that became exceptions by that change. The missing ones
 * are older than the change, since newer exceptions are mirrored as soon as
 * they are established; flows without a record are therefore placed by the
 * pools before the change.
 */
static void use_earlier_rules(const struct flow_director *director,
			      struct director_slot *slot,
			      const struct slot_homes *previous, int64_t now_ms)
{
	if (!previous || is_reachable(director->view, previous->home) ||
	    now_ms - director->rules_changed_ms >= CONFIG_SKEW_MAX_MS ||
	    slot->base_until_ms > now_ms || director->earlier_revision == 0)
		return;
	slot->base_revision = director->earlier_revision;
	slot->base_until_ms = now_ms + flow_state_timeout_ms(FLOW_ESTABLISHED);
}

static void update_slot(struct flow_director *director, uint16_t slot_number,
			const struct view_change *change)
{
	struct director_slot *slot = &director->slots[slot_number];
	const struct slot_homes *current =
		home_map_at(director->homes, slot_number);
	const struct slot_homes *previous =
		change->old_homes ? home_map_at(change->old_homes, slot_number)
				  : NULL;
	uint64_t old_handover_to = slot->handover_to;

	use_earlier_rules(director, slot, previous, change->now_ms);
	update_sync_source(director, slot, slot_number, change, previous,
			   current);
	update_handover(director, slot, previous, current);
	director->home_slot_count += current->home == director->self_id;
	if (previous && previous->home == current->home &&
	    previous->mirror == current->mirror &&
	    old_handover_to == slot->handover_to)
		return;
	slot->epoch = slot->epoch == UINT8_MAX ? 1 : slot->epoch + 1;
}

static GArray *find_returned_nodes(const struct flow_director *director,
				   const struct node_view *old_view)
{
	GArray *returned_node_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (uint32_t i = 0; old_view && i < node_view_count(director->view);
	     i++) {
		const struct node *node = node_view_at(director->view, i);

		if (node->node_id != director->self_id &&
		    home_node_is_eligible(node) &&
		    !is_reachable(old_view, node->node_id))
			g_array_append_val(returned_node_ids, node->node_id);
	}
	return returned_node_ids;
}

static void drop_unreachable_peers(struct flow_director *director,
				   const struct node_view *old_view)
{
	for (uint32_t i = 0; old_view && i < node_view_count(old_view); i++) {
		uint64_t node_id = node_view_at(old_view, i)->node_id;

		if (!is_reachable(director->view, node_id))
			flow_outbox_drop_peer(director->outbox, node_id);
	}
}

static struct node_view *copy_view(const struct flow_director *director,
				   const struct node_view *view)
{
	uint32_t count = node_view_count(view);
	struct node *nodes = g_new0(struct node, count + 1);
	struct node_view *copy;

	for (uint32_t i = 0; i < count; i++) {
		nodes[i] = *node_view_at(view, i);
		if (director->is_leaving &&
		    nodes[i].node_id == node_view_self_id(view))
			nodes[i].state = NODE_LEAVING;
	}
	copy = node_view_new(node_view_self_id(view), node_view_version(view),
			     nodes, count);
	g_free(nodes);
	return copy;
}

/*
 * Updates is_stale and is_declared_dead from this node's state in the view.
 * After a pause the node counts itself as joining until the other nodes have
 * reported its state; until then it stays stale.
 */
static void update_self_state(struct flow_director *director)
{
	enum node_state state =
		node_state_in(director->view, director->self_id);

	director->is_stale = director->is_stale && state == NODE_JOINING;
	director->is_declared_dead = state == NODE_DEAD;
	if (director->is_declared_dead)
		flow_director_clear_flows(director);
}

static bool has_no_eligible_home(const struct flow_director *director)
{
	for (uint32_t i = 0; i < node_view_count(director->view); i++) {
		if (home_node_is_eligible(node_view_at(director->view, i)))
			return false;
	}
	return true;
}

/*
 * Applies a new view of the nodes; the director keeps a copy. Slots whose home
 * changes are handed over or received, and records are sent to the nodes that
 * need them within the byte budget. After a pause, the node places flows again
 * once a view shows that the other nodes have reported its state. If they
 * declared it dead, it starts with no records.
 */
void flow_director_set_view(struct flow_director *director,
			    const struct node_view *view, int64_t now_ms)
{
	struct node_view *old_view = director->view;
	struct home_map *old_homes = director->homes;
	struct view_change change = {
		.old_homes = old_homes, .old_view = old_view, .now_ms = now_ms};

	director->now_ms = now_ms;
	director->last_event_ms = now_ms;
	director->view = copy_view(director, view);
	director->self_id = node_view_self_id(view);
	director->homes = home_map_new(director->view);
	director->home_slot_count = 0;
	change.returned_node_ids = find_returned_nodes(director, old_view);
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++)
		update_slot(director, (uint16_t)i, &change);
	update_self_state(director);
	drop_unreachable_peers(director, old_view);
	g_hash_table_remove_all(director->prepared_revisions);
	flow_director_start_pass(director);
	g_array_free(change.returned_node_ids, TRUE);
	node_view_free(old_view);
	home_map_free(old_homes);
}

/*
 * Starts to leave: new flows go to the next homes immediately, and the records
 * are handed over. flow_director_may_stop returns true once this is complete.
 */
void flow_director_leave(struct flow_director *director, int64_t now_ms)
{
	struct node_view *view;

	if (director->is_leaving)
		return;
	director->is_leaving = true;
	director->leave_started_ms = now_ms;
	director->may_stop = director->view == NULL;
	if (!director->view)
		return;
	view = node_view_copy(director->view);
	flow_director_set_view(director, view, now_ms);
	node_view_free(view);
	/* No other node can take over or needs to learn of the leave. */
	director->may_stop = has_no_eligible_home(director);
}
