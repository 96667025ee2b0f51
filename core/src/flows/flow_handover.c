/* Handing slots over: what their next homes must know, then the slots. */
#include "flow_director_state.h"

static void post_pool(struct flow_director *director, uint64_t to_node_id,
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
		struct target target =
			target_book_at(director->book, member->target_index)
				->target;

		target.weight = member->weight;
		message.targets[message.target_count++] = target;
		if (message.target_count < FLOW_MESSAGE_TARGETS_MAX &&
		    i + 1 < pool->member_count)
			continue;
		flow_outbox_post(director->outbox, to_node_id, &message);
		message.target_count = 0;
	}
}

/* The pools of services that changed lately, which a new node cannot know. */
static void post_pools(struct flow_director *director, uint64_t to_node_id,
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
			post_pool(director, to_node_id, history,
				  &history->pools[i]);
	}
}

static bool is_barred(const struct known_target *known)
{
	return known->target.state == TARGET_LEAVING ||
	       known->target.state == TARGET_GONE;
}

/* A node that joins may learn late, by itself, which targets leave. */
static void post_targets(struct flow_director *director, uint64_t to_node_id)
{
	struct flow_message message = {.kind = FLOW_TARGETS};

	for (uint32_t i = 0; i < target_book_count(director->book); i++) {
		const struct known_target *known =
			target_book_at(director->book, (uint16_t)i);

		if (known->is_in_force && is_barred(known))
			message.targets[message.target_count++] = known->target;
		if (message.target_count < FLOW_MESSAGE_TARGETS_MAX)
			continue;
		flow_outbox_post(director->outbox, to_node_id, &message);
		message.target_count = 0;
	}
	if (message.target_count > 0)
		flow_outbox_post(director->outbox, to_node_id, &message);
}

/* The nodes to which slots have been announced and that have not taken them. */
static GHashTable *find_receivers(const struct flow_director *director)
{
	GHashTable *receivers = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);

	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		const struct director_slot *slot = &director->slots[i];

		if (slot->handover == HANDOVER_ANNOUNCED &&
		    !g_hash_table_contains(receivers, &slot->given_to))
			g_hash_table_add(receivers,
					 g_memdup2(&slot->given_to,
						   sizeof(slot->given_to)));
	}
	return receivers;
}

/*
 * Pools go to a node that has taken all it was sent before, so that a burst
 * of changes queues them once and not once for each change.
 */
void flow_director_send_pools(struct flow_director *director, int64_t now_ms)
{
	GHashTable *receivers;
	GHashTableIter iter;
	uint64_t *node_id;

	if (g_hash_table_size(director->pools_due) == 0)
		return;
	receivers = find_receivers(director);
	g_hash_table_iter_init(&iter, director->pools_due);
	while (g_hash_table_iter_next(&iter, (gpointer *)&node_id, NULL)) {
		bool is_wanted = g_hash_table_contains(receivers, node_id);

		if (is_wanted &&
		    !flow_outbox_is_idle(director->outbox, *node_id))
			continue;
		if (is_wanted)
			post_pools(director, *node_id, now_ms);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(receivers);
}

/*
 * A node that takes over slots may hold newer rules than this one had when it
 * announced them, and waits for the pools before; they are known here now.
 */
void flow_director_resend_pools(struct flow_director *director, int64_t now_ms)
{
	g_hash_table_destroy(director->pools_due);
	director->pools_due = find_receivers(director);
	flow_director_send_pools(director, now_ms);
}

/* A slot without a base gets one when its handover is announced. */
static void settle_base(struct flow_director *director,
			struct director_slot *slot, int64_t now_ms)
{
	if (slot->base_until_ms > now_ms)
		return;
	slot->base_revision = director->revision;
	slot->base_until_ms = now_ms + flow_state_timeout_ms(FLOW_ESTABLISHED);
}

/* What this node has yet to learn of a slot it cannot hand on. */
static bool is_due(const struct director_slot *slot, uint64_t to_node_id)
{
	return slot->given_to == to_node_id &&
	       slot->handover == HANDOVER_RUNNING &&
	       slot->pending_from == NODE_NONE;
}

/* Announces slots from one number on that have the same base. */
static void announce_alike(struct flow_director *director, uint64_t to_node_id,
			   uint32_t first, int64_t now_ms)
{
	const struct director_slot *model = &director->slots[first];
	struct flow_message done = {
		.kind = FLOW_DONE,
		.revision = director->revision,
		.base_revision = model->base_revision,
		.base_remaining_ms = (uint32_t)(model->base_until_ms - now_ms),
	};

	for (uint32_t i = first;
	     i < HOME_SLOT_COUNT && done.slot_count < FLOW_MESSAGE_SLOTS_MAX;
	     i++) {
		struct director_slot *slot = &director->slots[i];

		if (!is_due(slot, to_node_id))
			continue;
		settle_base(director, slot, now_ms);
		if (slot->base_revision != model->base_revision ||
		    slot->base_until_ms != model->base_until_ms)
			continue;
		done.slots[done.slot_count++] = (uint16_t)i;
		slot->handover = HANDOVER_ANNOUNCED;
	}
	flow_outbox_post(director->outbox, to_node_id, &done);
}

/*
 * Sends what a node must know before it takes slots over. Returns false when
 * it knows, so that the slots can be announced.
 */
static bool prepare(struct flow_director *director, uint64_t to_node_id,
		    int64_t now_ms)
{
	uint64_t *prepared =
		g_hash_table_lookup(director->prepared, &to_node_id);

	if (prepared && *prepared == director->revision + 1)
		return false;
	g_hash_table_insert(director->prepared,
			    g_memdup2(&to_node_id, sizeof(to_node_id)),
			    g_memdup2(&(uint64_t){director->revision + 1},
				      sizeof(uint64_t)));
	post_targets(director, to_node_id);
	post_pools(director, to_node_id, now_ms);
	return !flow_outbox_is_idle(director->outbox, to_node_id);
}

/* Announces all slots that go to one node, in as few messages as it takes. */
static void announce(struct flow_director *director, uint64_t to_node_id,
		     int64_t now_ms)
{
	if (prepare(director, to_node_id, now_ms))
		return;
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		struct director_slot *slot = &director->slots[i];

		if (!is_due(slot, to_node_id))
			continue;
		settle_base(director, slot, now_ms);
		announce_alike(director, to_node_id, i, now_ms);
	}
}

/* Announces the slots whose records have all gone to their next homes. */
void flow_director_announce(struct flow_director *director, int64_t now_ms)
{
	bool has_handovers = false;

	if (!director->has_handovers)
		return;
	for (uint32_t i = 0; i < HOME_SLOT_COUNT; i++) {
		const struct director_slot *slot = &director->slots[i];

		if (slot->handover != HANDOVER_RUNNING)
			continue;
		has_handovers = true;
		if (is_due(slot, slot->given_to) &&
		    flow_outbox_is_idle(director->outbox, slot->given_to))
			announce(director, slot->given_to, now_ms);
	}
	director->has_handovers = has_handovers;
}

/* The other node has taken a message; slots it announced are its own now. */
void flow_director_acked(void *context, uint64_t to_node_id,
			 const struct flow_message *message)
{
	struct flow_director *director = context;

	if (message->kind != FLOW_DONE)
		return;
	for (uint32_t i = 0; i < message->slot_count; i++) {
		struct director_slot *slot =
			&director->slots[message->slots[i]];

		if (slot->given_to != to_node_id ||
		    slot->handover != HANDOVER_ANNOUNCED)
			continue;
		slot->handover = HANDOVER_TAKEN;
	}
}
