#include "flow_director_state.h"

/* Ticks per pass over all records, with and without records to send. */
#define PASS_TICKS 10
#define IDLE_PASS_TICKS 200

static bool may_be_in_use_elsewhere(const struct pool *pool, int64_t now_ms)
{
	return pool->superseded_ms == 0 ||
	       now_ms - pool->superseded_ms < CONFIG_SKEW_MAX_MS;
}

/*
 * Returns the pool that flows without a record use in a slot: the pool of the
 * slot's base revision until it expires, then the pool in force.
 */
const struct pool *flow_director_base_pool(const struct flow_director *director,
					   const struct pool_history *history,
					   uint16_t slot_number, int64_t now_ms)
{
	const struct director_slot *slot = &director->slots[slot_number];

	if (slot->base_until_ms <= now_ms)
		return &history->pools[0];
	return pool_history_at(history, slot->base_revision);
}

/*
 * Returns whether a node without a record of the flow could compute a target
 * other than the recorded one. Such a node may use the pool in force, a
 * recently superseded pool, or the base of the slot.
 */
bool flow_director_is_exception(struct flow_director *director,
				const struct flow_record *record,
				int64_t now_ms)
{
	const struct target_record *known_target =
		target_table_at(director->known_targets, record->target_index);
	const struct pool_history *history = flow_director_find_history(
		director, known_target->target.service_id);
	const struct pool *base;

	if (!history || history->pool_count == 0)
		return true;
	base = flow_director_base_pool(director, history,
				       home_slot(record->hash_low), now_ms);
	for (uint32_t i = 0; i < history->pool_count; i++) {
		const struct pool *pool = &history->pools[i];

		if (pool != base && !may_be_in_use_elsewhere(pool, now_ms))
			continue;
		if (pool_default_target_index(pool, record->hash_low) !=
		    record->target_index)
			return true;
	}
	return false;
}

/* Queues a record for a node; returns false if it has to be retried later. */
static bool send_record(struct flow_director *director,
			struct flow_record *record, uint64_t to_node_id,
			enum flow_message_kind kind, int64_t now_ms)
{
	uint8_t epoch = director->slots[home_slot(record->hash_low)].epoch;
	const struct target_record *known_target =
		target_table_at(director->known_targets, record->target_index);

	if (record->sent_epoch == epoch)
		return true;
	if (!flow_outbox_add_entry(director->outbox, to_node_id, kind,
				   record->hash_low, &known_target->target,
				   now_ms))
		return false;
	record->sent_epoch = epoch;
	return true;
}

/* Returns the other node that needs a record, or NODE_NONE. */
static uint64_t find_recipient(const struct flow_director *director,
			       const struct flow_record *record,
			       enum flow_message_kind *kind)
{
	uint16_t slot_number = home_slot(record->hash_low);
	const struct director_slot *slot = &director->slots[slot_number];
	const struct slot_homes *homes =
		home_map_at(director->homes, slot_number);

	*kind = FLOW_HANDOVER;
	if (slot->handover_to != NODE_NONE)
		return slot->handover_to;
	if (record->is_mirror)
		return NODE_NONE;
	if (homes->home != director->self_id)
		return homes->home;
	*kind = FLOW_MIRROR;
	if (record->state == FLOW_EMBRYONIC || record->state == FLOW_CLOSING)
		return NODE_NONE;
	return homes->mirror;
}

static bool send_if_needed(struct flow_director *director,
			   struct flow_record *record, int64_t now_ms)
{
	enum flow_message_kind kind;
	uint64_t node_id = find_recipient(director, record, &kind);

	if (node_id == NODE_NONE)
		return true;
	if (!record->is_mirror &&
	    !flow_director_is_exception(director, record, now_ms))
		return true;
	return send_record(director, record, node_id, kind, now_ms);
}

/* Sends a record to its home or mirror if needed, or defers it to a pass. */
void flow_director_replicate(struct flow_director *director,
			     struct flow_record *record, int64_t now_ms)
{
	if (director->homes && !send_if_needed(director, record, now_ms))
		director->has_deferred_records = true;
}

/* Starts a pass over all records that sends those needed on other nodes. */
void flow_director_start_pass(struct flow_director *director)
{
	director->pass_buckets_left = flow_table_bucket_count(director->table);
	director->has_deferred_records = false;
}

static enum sweep_action sweep_record(void *context, struct flow_record *record)
{
	struct flow_director *director = context;

	if (flow_table_is_idle(record, director->now_ms)) {
		flow_director_remove_load(director, record);
		return SWEEP_REMOVE;
	}
	if (director->pass_buckets_left == 0 ||
	    send_if_needed(director, record, director->now_ms))
		return SWEEP_KEEP;
	if (!flow_outbox_has_budget(director->outbox))
		return SWEEP_STOP;
	director->has_deferred_records = true;
	return SWEEP_KEEP;
}

/*
 * Sweeps the next part of the table: removes idle flows and, during a pass,
 * sends exceptions to the nodes that need them, within the byte budget.
 */
void flow_director_sweep(struct flow_director *director, int64_t now_ms)
{
	uint32_t bucket_count = flow_table_bucket_count(director->table);
	bool is_pass = director->pass_buckets_left > 0;
	uint32_t sweep_count =
		bucket_count / (is_pass ? PASS_TICKS : IDLE_PASS_TICKS) + 1;
	uint32_t visited_count = flow_table_sweep(director->table, sweep_count,
						  director, sweep_record);

	flow_director_send_due_pools(director, now_ms);
	if (is_pass)
		director->pass_buckets_left -=
			MIN(visited_count, director->pass_buckets_left);
	if (director->pass_buckets_left > 0)
		return;
	if (director->has_deferred_records)
		flow_director_start_pass(director);
	else
		flow_director_announce_slots(director, now_ms);
}
