#include "flow_director_state.h"

/* Slots wait this long at most for pools that their former home may send. */
#define POOL_WAIT_MS (10 * 1000)
#define BASE_STEP_MS (10 * 1000)

static bool is_mine(const struct flow_director *director, uint64_t print_low)
{
	const struct slot_homes *homes =
		home_map_at(director->homes, home_slot(print_low));

	return homes->home == director->self_id ||
	       homes->next_home == director->self_id;
}

/* A flow that this node placed itself is better known here than elsewhere. */
static bool may_replace(const struct flow_record *record,
			enum flow_message_kind kind)
{
	if (record->is_mirror)
		return true;
	return record->is_guess && kind == FLOW_HANDOVER;
}

static struct flow_record *take_record(struct flow_director *director,
				       uint64_t print_low,
				       enum flow_message_kind kind,
				       int64_t now_ms)
{
	struct flow_record *record =
		flow_table_find(director->table, print_low);

	if (!record)
		return flow_table_insert(director->table, print_low,
					 FLOW_ESTABLISHED, now_ms);
	if (!may_replace(record, kind))
		return NULL;
	flow_director_uncount(director, record);
	flow_table_touch(director->table, record, FLOW_ESTABLISHED, now_ms);
	return record;
}

static void take_entry(struct flow_director *director,
		       const struct flow_message *message,
		       const struct flow_entry *entry, int64_t now_ms)
{
	uint16_t target_index = target_book_add(
		director->book, &message->targets[entry->target_index]);
	struct flow_record *record;

	if (target_index == TARGET_INDEX_NONE)
		return;
	record = take_record(director, entry->print_low, message->kind, now_ms);
	if (!record)
		return;
	record->is_guess = false;
	record->is_mirror = message->kind == FLOW_MIRROR ||
			    !is_mine(director, entry->print_low);
	record->sent_epoch = 0;
	flow_director_count(director, record, target_index);
	flow_director_mirror(director, record, now_ms);
}

static bool take_entries(struct flow_director *director, uint64_t from_node_id,
			 const struct flow_message *message, int64_t now_ms)
{
	for (uint32_t i = 0; i < message->entry_count; i++)
		take_entry(director, message, &message->entries[i], now_ms);
	return true;
}

/* Takes a pool older than the one in force; parts come one after another. */
static bool take_pool(struct flow_director *director, uint64_t from_node_id,
		      const struct flow_message *message, int64_t now_ms)
{
	struct pool_history *history =
		flow_director_history(director, message->service_id);
	GArray *targets = director->pool_targets;

	if (!history || history->pool_count == 0 ||
	    message->generation >= history->pools[0].generation)
		return true;
	if (director->pool_service_id != message->service_id ||
	    director->pool_generation != message->generation)
		g_array_set_size(targets, 0);
	director->pool_service_id = message->service_id;
	director->pool_generation = message->generation;
	g_array_append_vals(targets, message->targets, message->target_count);
	if (targets->len < message->pool_count)
		return true;
	pool_history_add(history, director->book, message->generation,
			 (const struct target *)(void *)targets->data,
			 targets->len, now_ms);
	g_array_set_size(targets, 0);
	return true;
}

/* What another node knows of a target that serves, as far as is known here. */
static bool take_targets(struct flow_director *director, uint64_t from_node_id,
			 const struct flow_message *message, int64_t now_ms)
{
	for (uint32_t i = 0; i < message->target_count; i++) {
		uint16_t index = target_book_find(
			director->book, message->targets[i].target_id);
		struct known_target *known;

		if (index == TARGET_INDEX_NONE)
			continue;
		known = target_book_at(director->book, index);
		if (known->target.state == TARGET_SERVING)
			known->target.state = message->targets[i].state;
	}
	return true;
}

/*
 * Tells whether the pools that a base names are known. They are not when this
 * node has newer rules only and the sender has not seen those yet.
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
		uint64_t oldest = pool_history_oldest(value);

		if (oldest > message->base_revision &&
		    oldest > message->revision)
			return false;
	}
	return true;
}

static bool has_waited(const struct flow_director *director,
		       const struct flow_message *message, int64_t now_ms)
{
	const struct director_slot *slot;

	if (message->slot_count == 0)
		return true;
	slot = &director->slots[message->slots[0]];
	return slot->pending_from == NODE_NONE ||
	       now_ms - slot->pending_since_ms > POOL_WAIT_MS;
}

static void take_slot(struct flow_director *director, uint64_t from_node_id,
		      const struct flow_message *message, uint16_t number,
		      int64_t now_ms)
{
	struct director_slot *slot = &director->slots[number];
	int64_t until_ms = now_ms + message->base_remaining_ms;

	/* Few distinct ends let many slots share a message later. */
	until_ms -= until_ms % BASE_STEP_MS;

	slot->learned_from = from_node_id;
	if (slot->pending_from == from_node_id)
		slot->pending_from = NODE_NONE;
	/* Of two bases the older one knows more of the flows. */
	if (slot->base_until_ms > now_ms &&
	    slot->base_revision <= message->base_revision)
		return;
	slot->base_revision = message->base_revision;
	slot->base_until_ms = until_ms;
}

static bool take_done(struct flow_director *director, uint64_t from_node_id,
		      const struct flow_message *message, int64_t now_ms)
{
	if (!is_base_known(director, message) &&
	    !has_waited(director, message, now_ms))
		return false;
	for (uint32_t i = 0; i < message->slot_count; i++)
		take_slot(director, from_node_id, message, message->slots[i],
			  now_ms);
	flow_director_start_pass(director);
	return true;
}

/* What each kind does; false leaves a message unacknowledged. */
static bool (*const takers[FLOW_MESSAGE_KIND_COUNT])(
	struct flow_director *director, uint64_t from_node_id,
	const struct flow_message *message, int64_t now_ms) = {
	[FLOW_MIRROR] = take_entries, [FLOW_HANDOVER] = take_entries,
	[FLOW_POOL] = take_pool,      [FLOW_TARGETS] = take_targets,
	[FLOW_DONE] = take_done,
};

/*
 * Takes a message from another node. It may come twice, late or out of order;
 * one that is not valid is ignored.
 */
void flow_director_message(struct flow_director *director,
			   uint64_t from_node_id,
			   const struct flow_message *message, int64_t now_ms)
{
	director->now_ms = now_ms;
	if (!director->view || !flow_message_is_valid(message))
		return;
	if (message->kind == FLOW_ACK) {
		flow_outbox_take_ack(director->outbox, from_node_id, message);
		return;
	}
	if (takers[message->kind](director, from_node_id, message, now_ms))
		flow_outbox_note_taken(director->outbox, from_node_id,
				       message->sequence, now_ms);
}
