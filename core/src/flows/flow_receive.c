#include "flow_director_state.h"

/* Longest time a slot waits for older pools from its previous home. */
#define POOL_WAIT_MS (10 * 1000)
/* Base expiry times are rounded down to a multiple of this. */
#define BASE_EXPIRY_STEP_MS (10 * 1000)

static bool is_or_becomes_home(const struct flow_director *director,
			       uint64_t hash_low)
{
	const struct slot_homes *homes =
		home_map_at(director->homes, home_slot(hash_low));

	return homes->home == director->self_id ||
	       homes->next_home == director->self_id;
}

/*
 * Returns whether a received entry may replace a record. Records of flows that
 * this node placed itself are kept unless their target was only assumed.
 */
static bool may_replace(const struct flow_record *record,
			enum flow_message_kind kind)
{
	if (record->is_mirror)
		return true;
	return record->is_provisional && kind == FLOW_HANDOVER;
}

static struct flow_record *find_or_insert_record(struct flow_director *director,
						 uint64_t hash_low,
						 enum flow_message_kind kind,
						 int64_t now_ms)
{
	struct flow_record *record = flow_table_find(director->table, hash_low);

	if (!record)
		return flow_table_insert(director->table, hash_low,
					 FLOW_ESTABLISHED, now_ms);
	if (!may_replace(record, kind))
		return NULL;
	flow_director_remove_load(director, record);
	flow_table_touch(director->table, record, FLOW_ESTABLISHED, now_ms);
	return record;
}

static void apply_entry(struct flow_director *director,
			const struct flow_message *message,
			const struct flow_entry *entry, int64_t now_ms)
{
	uint16_t target_index =
		target_table_add(director->known_targets,
				 &message->targets[entry->target_index]);
	struct flow_record *record;

	if (target_index == TARGET_INDEX_NONE)
		return;
	record = find_or_insert_record(director, entry->hash_low, message->kind,
				       now_ms);
	if (!record)
		return;
	record->is_provisional = false;
	record->is_mirror = message->kind == FLOW_MIRROR ||
			    !is_or_becomes_home(director, entry->hash_low);
	record->sent_epoch = 0;
	flow_director_add_load(director, record, target_index);
	flow_director_replicate(director, record, now_ms);
}

static bool handle_entries(struct flow_director *director,
			   uint64_t from_node_id,
			   const struct flow_message *message, int64_t now_ms)
{
	for (uint32_t i = 0; i < message->entry_count; i++)
		apply_entry(director, message, &message->entries[i], now_ms);
	return true;
}

/*
 * Adds a pool older than the one in force to the history. The targets of a
 * large pool arrive in consecutive messages.
 */
static bool handle_pool(struct flow_director *director, uint64_t from_node_id,
			const struct flow_message *message, int64_t now_ms)
{
	struct pool_history *history =
		flow_director_find_history(director, message->service_id);
	GArray *targets = director->incoming_pool_targets;

	if (!history || history->pool_count == 0 ||
	    message->generation >= history->pools[0].generation)
		return true;
	if (director->incoming_pool_service_id != message->service_id ||
	    director->incoming_pool_generation != message->generation)
		g_array_set_size(targets, 0);
	director->incoming_pool_service_id = message->service_id;
	director->incoming_pool_generation = message->generation;
	g_array_append_vals(targets, message->targets, message->target_count);
	if (targets->len < message->pool_count)
		return true;
	pool_history_add(history, director->known_targets, message->generation,
			 (const struct target *)(void *)targets->data,
			 targets->len, now_ms);
	g_array_set_size(targets, 0);
	return true;
}

/* Adopts the reported state of each target that is serving on this node. */
static bool handle_targets(struct flow_director *director,
			   uint64_t from_node_id,
			   const struct flow_message *message, int64_t now_ms)
{
	for (uint32_t i = 0; i < message->target_count; i++) {
		uint16_t index = target_table_find(
			director->known_targets, message->targets[i].target_id);
		struct target_record *known_target;

		if (index == TARGET_INDEX_NONE)
			continue;
		known_target = target_table_at(director->known_targets, index);
		if (known_target->target.state == TARGET_SERVING)
			known_target->target.state = message->targets[i].state;
	}
	return true;
}

/*
 * Returns whether this node knows the pools of a message's base revision. It
 * does not if it has only newer rules, which the sender has not received yet.
 */
static bool is_base_known(const struct flow_director *director,
			  const struct flow_message *message)
{
	GHashTableIter iter;
	gpointer value;

	if (!director->rules)
		return false;
	g_hash_table_iter_init(&iter, director->histories);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint64_t oldest = pool_history_oldest_generation(value);

		if (oldest > message->base_revision &&
		    oldest > message->revision)
			return false;
	}
	return true;
}

/*
 * Returns whether the slots of the message no longer wait for the pools of the
 * base revision: the handover of the first slot is not pending, or has been for
 * longer than POOL_WAIT_MS.
 */
static bool has_pool_wait_expired(const struct flow_director *director,
				  const struct flow_message *message,
				  int64_t now_ms)
{
	const struct director_slot *slot;

	if (message->slot_count == 0)
		return true;
	slot = &director->slots[message->slots[0]];
	return slot->pending_from == NODE_NONE ||
	       now_ms - slot->pending_since_ms > POOL_WAIT_MS;
}

static void complete_slot_sync(struct flow_director *director,
			       uint64_t from_node_id,
			       const struct flow_message *message,
			       uint16_t slot_number, int64_t now_ms)
{
	struct director_slot *slot = &director->slots[slot_number];
	int64_t until_ms = now_ms + message->base_remaining_ms;

	/*
	 * Slots with the same base and expiry time fit in one announcement if
	 * this node hands them over in turn.
	 */
	until_ms -= until_ms % BASE_EXPIRY_STEP_MS;

	handover_senders_add(&slot->synced_from, from_node_id);
	if (slot->pending_from == from_node_id)
		slot->pending_from = NODE_NONE;
	/* The older of two bases is correct for more of the flows. */
	if (slot->base_until_ms > now_ms &&
	    slot->base_revision <= message->base_revision)
		return;
	slot->base_revision = message->base_revision;
	slot->base_until_ms = until_ms;
}

static bool handle_handover_done(struct flow_director *director,
				 uint64_t from_node_id,
				 const struct flow_message *message,
				 int64_t now_ms)
{
	if (!is_base_known(director, message) &&
	    !has_pool_wait_expired(director, message, now_ms))
		return false;
	for (uint32_t i = 0; i < message->slot_count; i++)
		complete_slot_sync(director, from_node_id, message,
				   message->slots[i], now_ms);
	flow_director_start_pass(director);
	return true;
}

/* Handlers by message kind; false leaves the message unacknowledged. */
static bool (*const handlers[FLOW_MESSAGE_KIND_COUNT])(
	struct flow_director *director, uint64_t from_node_id,
	const struct flow_message *message, int64_t now_ms) = {
	[FLOW_MIRROR] = handle_entries,
	[FLOW_HANDOVER] = handle_entries,
	[FLOW_POOL] = handle_pool,
	[FLOW_TARGETS] = handle_targets,
	[FLOW_HANDOVER_DONE] = handle_handover_done,
};

/*
 * Handles a message from another node. Messages may arrive twice, late or out
 * of order; invalid ones are ignored.
 */
void flow_director_handle_message(struct flow_director *director,
				  uint64_t from_node_id,
				  const struct flow_message *message,
				  int64_t now_ms)
{
	director->now_ms = now_ms;
	if (!director->view || !flow_message_is_valid(message))
		return;
	if (message->kind == FLOW_ACK) {
		flow_outbox_handle_ack(director->outbox, from_node_id, message);
		return;
	}
	if (handlers[message->kind](director, from_node_id, message, now_ms))
		flow_outbox_schedule_ack(director->outbox, from_node_id,
					 message->sequence, now_ms);
}
