/*
 * Handover of slots: sends the targets and pools that the next home needs, then
 * announces the slots as complete.
 */
#include "flow_director_state.h"

static void queue_pool(struct flow_director *director, uint64_t to_node_id,
		       const struct pool_history *history,
		       const struct pool *pool)
{
	struct flow_message message = {
		.kind = FLOW_POOL,
		.service_id = history->service_id,
		.generation = pool->generation,
		.pool_count = pool->member_count,
	};

	for (uint32_t i = 0; i < pool->member_count; i++) {
		const struct pool_member *member = &pool->members[i];
		struct target target = target_table_at(director->known_targets,
						       member->target_index)
					       ->target;

		target.weight = member->weight;
		message.targets[message.target_count++] = target;
		if (message.target_count < FLOW_MESSAGE_TARGETS_MAX &&
		    i + 1 < pool->member_count)
			continue;
		flow_outbox_enqueue(director->outbox, to_node_id, &message);
		message.target_count = 0;
	}
}

/*
 * Queues the pools of services that changed within the idle timeout of
 * established flows. A joining node knows only the pools of the current rules.
 */
static void queue_pools(struct flow_director *director, uint64_t to_node_id,
			int64_t now_ms)
{
	int64_t since_ms = now_ms - flow_state_timeout_ms(FLOW_ESTABLISHED);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, director->histories);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_history *history = value;

		if (history->changed_ms == 0 || history->changed_ms < since_ms)
			continue;
		for (uint32_t i = 0; i < history->pool_count; i++)
			queue_pool(director, to_node_id, history,
				   &history->pools[i]);
	}
}

static bool is_leaving_or_gone(const struct target_record *known_target)
{
	return known_target->target.state == TARGET_LEAVING ||
	       known_target->target.state == TARGET_GONE;
}

/*
 * Queues the targets that accept no new flows. A joining node may not have
 * received their states yet.
 */
static void queue_targets(struct flow_director *director, uint64_t to_node_id)
{
	struct flow_message message = {.kind = FLOW_TARGETS};

	for (uint32_t i = 0; i < target_table_count(director->known_targets);
	     i++) {
		const struct target_record *known_target =
			target_table_at(director->known_targets, (uint16_t)i);

		if (known_target->is_in_current_pool &&
		    is_leaving_or_gone(known_target))
			message.targets[message.target_count++] =
				known_target->target;
		if (message.target_count < FLOW_MESSAGE_TARGETS_MAX)
			continue;
		flow_outbox_enqueue(director->outbox, to_node_id, &message);
		message.target_count = 0;
	}
	if (message.target_count > 0)
		flow_outbox_enqueue(director->outbox, to_node_id, &message);
}

/* Returns the nodes that have not acknowledged all slots announced to them. */
static GHashTable *find_pending_receivers(const struct flow_director *director)
{
	GHashTable *receivers = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);

	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		const struct director_slot *slot = &director->slots[i];

		if (slot->handover == HANDOVER_ANNOUNCED &&
		    !g_hash_table_contains(receivers, &slot->handover_to))
			g_hash_table_add(receivers,
					 g_memdup2(&slot->handover_to,
						   sizeof(slot->handover_to)));
	}
	return receivers;
}

/*
 * Sends pools to the nodes in pool_receivers that still have announced slots to
 * acknowledge. A node must have acknowledged all earlier messages first, so
 * that a burst of rule changes queues its pools only once instead of once per
 * change.
 */
void flow_director_send_due_pools(struct flow_director *director,
				  int64_t now_ms)
{
	GHashTable *receivers;
	GHashTableIter iter;
	uint64_t *node_id;

	if (g_hash_table_size(director->pool_receivers) == 0)
		return;
	receivers = find_pending_receivers(director);
	g_hash_table_iter_init(&iter, director->pool_receivers);
	while (g_hash_table_iter_next(&iter, (gpointer *)&node_id, NULL)) {
		bool is_receiver = g_hash_table_contains(receivers, node_id);

		if (is_receiver &&
		    !flow_outbox_is_idle(director->outbox, *node_id))
			continue;
		if (is_receiver)
			queue_pools(director, *node_id, now_ms);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(receivers);
}

/*
 * Sends pools again after a rule change. A node that takes over slots may
 * already have had newer rules than this one when the announcement arrived. It
 * then waits for the pools that those rules replaced. This node can send them
 * as superseded pools once it has the newer rules too.
 */
void flow_director_resend_pools(struct flow_director *director, int64_t now_ms)
{
	g_hash_table_destroy(director->pool_receivers);
	director->pool_receivers = find_pending_receivers(director);
	flow_director_send_due_pools(director, now_ms);
}

/* Sets the base of a slot to the current revision unless the slot has one. */
static void ensure_base(struct flow_director *director,
			struct director_slot *slot, int64_t now_ms)
{
	if (slot->base_until_ms > now_ms)
		return;
	slot->base_revision = director->revision;
	slot->base_until_ms = now_ms + flow_state_timeout_ms(FLOW_ESTABLISHED);
}

/*
 * Returns whether a slot can be announced to a node. A slot whose records this
 * node is still waiting for cannot, unless it waits for the receiver: a joining
 * node that was the home while no node served keeps its records, so both would
 * wait for each other.
 */
static bool can_announce(const struct director_slot *slot, uint64_t to_node_id)
{
	return slot->handover_to == to_node_id &&
	       slot->handover == HANDOVER_RUNNING &&
	       (slot->pending_from == NODE_NONE ||
		slot->pending_from == to_node_id);
}

/* Announces the slots, from first on, that have the same base as first. */
static void announce_slots_with_base_of(struct flow_director *director,
					uint64_t to_node_id, uint32_t first,
					int64_t now_ms)
{
	const struct director_slot *first_slot = &director->slots[first];
	struct flow_message done = {
		.kind = FLOW_HANDOVER_DONE,
		.revision = director->revision,
		.base_revision = first_slot->base_revision,
		.base_remaining_ms =
			(uint32_t)(first_slot->base_until_ms - now_ms),
	};

	for (uint32_t i = first;
	     i < HOME_SLOT_COUNT && done.slot_count < FLOW_MESSAGE_SLOTS_MAX;
	     i++) {
		struct director_slot *slot = &director->slots[i];

		if (!can_announce(slot, to_node_id))
			continue;
		ensure_base(director, slot, now_ms);
		if (slot->base_revision != first_slot->base_revision ||
		    slot->base_until_ms != first_slot->base_until_ms)
			continue;
		done.slots[done.slot_count++] = (uint16_t)i;
		slot->handover = HANDOVER_ANNOUNCED;
	}
	flow_outbox_enqueue(director->outbox, to_node_id, &done);
}

/*
 * Queues the targets and pools that a node needs before it takes over slots.
 * Returns true while the announcement has to wait for their acknowledgement.
 */
static bool queue_prerequisites(struct flow_director *director,
				uint64_t to_node_id, int64_t now_ms)
{
	uint64_t *prepared_revision =
		g_hash_table_lookup(director->prepared_revisions, &to_node_id);

	if (prepared_revision && *prepared_revision == director->revision + 1)
		return false;
	g_hash_table_insert(director->prepared_revisions,
			    g_memdup2(&to_node_id, sizeof(to_node_id)),
			    g_memdup2(&(uint64_t){director->revision + 1},
				      sizeof(uint64_t)));
	queue_targets(director, to_node_id);
	queue_pools(director, to_node_id, now_ms);
	return !flow_outbox_is_idle(director->outbox, to_node_id);
}

/* Announces all slots for one node, in as few messages as possible. */
static void announce_to_node(struct flow_director *director,
			     uint64_t to_node_id, int64_t now_ms)
{
	if (queue_prerequisites(director, to_node_id, now_ms))
		return;
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		struct director_slot *slot = &director->slots[i];

		if (!can_announce(slot, to_node_id))
			continue;
		ensure_base(director, slot, now_ms);
		announce_slots_with_base_of(director, to_node_id, i, now_ms);
	}
}

/* Announces the slots whose records have all been acknowledged. */
void flow_director_announce_slots(struct flow_director *director,
				  int64_t now_ms)
{
	bool has_running_handovers = false;

	if (!director->has_running_handovers)
		return;
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		const struct director_slot *slot = &director->slots[i];

		if (slot->handover != HANDOVER_RUNNING)
			continue;
		has_running_handovers = true;
		if (can_announce(slot, slot->handover_to) &&
		    flow_outbox_is_idle(director->outbox, slot->handover_to))
			announce_to_node(director, slot->handover_to, now_ms);
	}
	director->has_running_handovers = has_running_handovers;
}

/*
 * Handles the acknowledgement of a message: the receiver of a
 * FLOW_HANDOVER_DONE message has taken over the slots in it.
 */
void flow_director_handle_message_acked(void *context, uint64_t to_node_id,
					const struct flow_message *message)
{
	struct flow_director *director = context;

	if (message->kind != FLOW_HANDOVER_DONE)
		return;
	for (uint32_t i = 0; i < message->slot_count; i++) {
		struct director_slot *slot =
			&director->slots[message->slots[i]];

		if (slot->handover_to != to_node_id ||
		    slot->handover != HANDOVER_ANNOUNCED)
			continue;
		slot->handover = HANDOVER_ACKED;
	}
}
