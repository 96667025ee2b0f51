#include "membership_state.h"

/* Tells of a decision about a node. */
void membership_emit_event(struct membership *membership,
			   enum member_event_kind kind, const struct node *node)
{
	const struct membership_effects *effects = &membership->options.effects;
	struct member_event event = {.kind = kind,
				     .zone_id = node->zone_id,
				     .node_id = node->node_id,
				     .incarnation = node->incarnation};

	effects->event(effects->context, &event);
}

static const enum member_event_kind state_events[] = {
	[NODE_JOINING] = MEMBER_EVENT_JOINED,
	[NODE_SERVING] = MEMBER_EVENT_SERVING,
	[NODE_LEAVING] = MEMBER_EVENT_LEAVING,
};

static void propagate_change(struct membership *membership,
			     struct member *member)
{
	membership_mark_changed(membership);
	membership_queue_update(membership, member);
}

static void apply_incarnation(struct membership *membership,
			      struct member *member, const struct node *node,
			      int64_t now_ms)
{
	bool was_suspect = member->is_suspect;

	member->node = *node;
	member->is_suspect = false;
	/* Only the member raises its incarnation: it can be reached by some. */
	member->last_heard_ms = now_ms;
	propagate_change(membership, member);
	membership_emit_event(membership,
			      was_suspect ? MEMBER_EVENT_REFUTED
					  : state_events[node->state],
			      node);
	membership_update_zone(membership, node->zone_id, now_ms);
}

static void add_new_member(struct membership *membership,
			   const struct node *node)
{
	struct member *member = member_table_add(membership->table, node);

	propagate_change(membership, member);
	membership_emit_event(membership, state_events[node->state], node);
}

/* A node that speaks from an address replaces the one that had it before. */
static void mark_predecessors_dead(struct membership *membership,
				   const struct node *node, int64_t now_ms)
{
	for (uint32_t i = 0; i < member_table_count(membership->table); i++) {
		struct member *member = member_table_at(membership->table, i);

		if (member->node.node_id != node->node_id &&
		    member != membership->self && member_is_live(member) &&
		    endpoint_equal(&member->node.control, &node->control))
			membership_mark_dead(membership, member,
					     member->node.node_id, now_ms);
	}
}

/*
 * A member that was declared dead comes back by joining. When it has refuted
 * a mere suspicion instead, its next message is answered with its death.
 */
static void merge_self_update(struct membership *membership,
			      struct member *member, const struct node *node,
			      int64_t now_ms)
{
	if (!member) {
		add_new_member(membership, node);
		return;
	}
	if (node->incarnation > member->node.incarnation) {
		if (member_is_live(member) || node->state == NODE_JOINING)
			apply_incarnation(membership, member, node, now_ms);
		else
			member->node.incarnation = node->incarnation;
		return;
	}
	if (node->incarnation < member->node.incarnation ||
	    !member_is_live(member) || node->state <= member->node.state)
		return;
	member->node.state = node->state;
	propagate_change(membership, member);
	membership_emit_event(membership, state_events[node->state], node);
}

/* Takes note that a node accuses a member of not answering. */
void membership_suspect(struct membership *membership, struct member *member,
			uint64_t accuser_id, int64_t now_ms)
{
	if (!member_is_live(member))
		return;
	if (!member->is_suspect) {
		member->is_suspect = true;
		member->reprobe_count = 0;
		suspicion_start(&member->suspicion, now_ms);
		membership_emit_event(membership, MEMBER_EVENT_SUSPECTED,
				      &member->node);
	}
	if (!suspicion_add(&member->suspicion, accuser_id))
		return;
	member->last_accuser_id = accuser_id;
	propagate_change(membership, member);
	membership_update_zone(membership, member->node.zone_id, now_ms);
}

/*
 * Declares a member dead; when it accuses itself, it has left. The member is
 * kept, so that old news do not bring it back, until it is forgotten.
 */
void membership_mark_dead(struct membership *membership, struct member *member,
			  uint64_t accuser_id, int64_t now_ms)
{
	bool has_left = accuser_id == member->node.node_id;

	member->node.state = NODE_DEAD;
	member->is_suspect = false;
	member->died_ms = now_ms;
	member->last_accuser_id = accuser_id;
	propagate_change(membership, member);
	membership_emit_event(membership,
			      has_left ? MEMBER_EVENT_LEFT : MEMBER_EVENT_DIED,
			      &member->node);
	membership_update_zone(membership, member->node.zone_id, now_ms);
}

/* A zone that is cut off here is held, whatever others make of it. */
static void merge_dead(struct membership *membership, struct member *member,
		       const struct member_update *update, int64_t now_ms)
{
	bool has_left = update->accuser_id == update->node.node_id;

	if (!member_is_live(member))
		return;
	if (!has_left &&
	    zone_watch_is_cut(membership->zones, member->node.zone_id)) {
		membership_suspect(membership, member, update->accuser_id,
				   now_ms);
		return;
	}
	member->node.incarnation = update->node.incarnation;
	membership_mark_dead(membership, member, update->accuser_id, now_ms);
}

/*
 * Merges one update. The higher incarnation wins; within one, leaving wins
 * over serving over joining, and dead over all of them.
 */
void membership_merge(struct membership *membership, uint64_t from_node_id,
		      const struct member_update *update, int64_t now_ms)
{
	const struct node *node = &update->node;
	struct member *member =
		member_table_find(membership->table, node->node_id);

	if (node->node_id == NODE_NONE)
		return;
	if (member == membership->self) {
		membership_on_self_update(membership, update, now_ms);
		return;
	}
	if (member_update_is_full(update)) {
		merge_self_update(membership, member, node, now_ms);
		if (node->node_id == from_node_id)
			mark_predecessors_dead(membership, node, now_ms);
		return;
	}
	if (!member)
		return;
	if (node->incarnation < member->node.incarnation) {
		/* Whoever still says so missed the refutation. */
		membership_requeue_update(membership, member);
		return;
	}
	if (node->state == NODE_DEAD)
		merge_dead(membership, member, update, now_ms);
	else if (node->incarnation == member->node.incarnation)
		membership_suspect(membership, member, update->accuser_id,
				   now_ms);
}
