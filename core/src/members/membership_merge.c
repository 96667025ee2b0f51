#include "membership_state.h"

/* Reports a state change of a node. */
void membership_emit_event(struct membership *membership,
			   enum member_event_kind kind, const struct node *node)
{
	const struct membership_callbacks *callbacks =
		&membership->options.callbacks;
	struct member_event event = {.kind = kind,
				     .zone_id = node->zone_id,
				     .node_id = node->node_id,
				     .incarnation = node->incarnation};

	callbacks->event(callbacks->context, &event);
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
	/* Only the member raises its incarnation, so some node can reach it. */
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

/* A node that sends from an address replaces the node that had it before. */
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
 * Merges a node's description of itself. A dead member returns only by joining.
 * If it refuted a suspicion instead, the higher incarnation is recorded, and
 * the next message to the member reports that it is dead.
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

/* Records that a node suspects a member, because its probes failed. */
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
 * Marks a member dead; if it is its own accuser, it has left. The member stays
 * in the table until dead_retention_ms has passed, so that outdated updates
 * don't add it again.
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

/*
 * A member of a zone that is partitioned from this node stays suspect, even if
 * other nodes declare it dead.
 */
static void merge_dead(struct membership *membership, struct member *member,
		       const struct member_update *update, int64_t now_ms)
{
	bool has_left = update->accuser_id == update->node.node_id;

	if (!member_is_live(member))
		return;
	if (!has_left && zone_watch_is_partitioned(membership->zones,
						   member->node.zone_id)) {
		membership_suspect(membership, member, update->accuser_id,
				   now_ms);
		return;
	}
	member->node.incarnation = update->node.incarnation;
	membership_mark_dead(membership, member, update->accuser_id, now_ms);
}

/*
 * Merges one update. The higher incarnation wins. Within one incarnation, the
 * order of precedence is dead, leaving, serving, joining.
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
		membership_handle_self_update(membership, update, now_ms);
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
		/* The sender missed the refutation; gossip it again. */
		membership_requeue_update(membership, member);
		return;
	}
	if (node->state == NODE_DEAD)
		merge_dead(membership, member, update, now_ms);
	else if (node->incarnation == member->node.incarnation)
		membership_suspect(membership, member, update->accuser_id,
				   now_ms);
}
