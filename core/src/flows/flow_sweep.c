#include "flow_director_state.h"

/* A pass over all records takes this many ticks, and many more when idle. */
#define PASS_TICKS 10
#define IDLE_PASS_TICKS 200

static bool is_doubtful(const struct pool *pool, int64_t now_ms)
{
	return pool->superseded_ms == 0 ||
	       now_ms - pool->superseded_ms < UNEVEN_MS;
}

/*
 * Returns the pool that flows without a record follow in a slot: that of the
 * slot's base while it lasts, else the pool in force.
 */
const struct pool *flow_director_base_pool(const struct flow_director *director,
					   const struct pool_history *history,
					   uint16_t slot, int64_t now_ms)
{
	const struct director_slot *state = &director->slots[slot];

	if (state->base_until_ms <= now_ms)
		return &history->pools[0];
	return pool_history_at(history, state->base_revision);
}

/*
 * Tells whether a node without a record of the flow could work out another
 * target than the record names. A node may hold the pool in force, one that
 * was in force until lately, or follow the base of the slot.
 */
bool flow_director_is_exception(struct flow_director *director,
				const struct flow_record *record,
				int64_t now_ms)
{
	const struct known_target *known =
		target_book_at(director->book, record->target_index);
	const struct pool_history *history =
		flow_director_history(director, known->target.service_id);
	const struct pool *base;

	if (!history || history->pool_count == 0)
		return true;
	base = flow_director_base_pool(director, history,
				       home_slot(record->print_low), now_ms);
	for (uint32_t i = 0; i < history->pool_count; i++) {
		const struct pool *pool = &history->pools[i];

		if (pool != base && !is_doubtful(pool, now_ms))
			continue;
		if (pool_default(pool, record->print_low) !=
		    record->target_index)
			return true;
	}
	return false;
}

/* Sends a record to a node; returns false when it has to wait. */
static bool send_record(struct flow_director *director,
			struct flow_record *record, uint64_t to_node_id,
			enum flow_message_kind kind, int64_t now_ms)
{
	uint8_t epoch = director->slots[home_slot(record->print_low)].epoch;
	const struct known_target *known =
		target_book_at(director->book, record->target_index);

	if (record->sent_epoch == epoch)
		return true;
	if (!flow_outbox_add(director->outbox, to_node_id, kind,
			     record->print_low, &known->target, now_ms))
		return false;
	record->sent_epoch = epoch;
	return true;
}

/* Where a record is to be known besides here; NODE_NONE for nowhere. */
static uint64_t receiver_of(const struct flow_director *director,
			    const struct flow_record *record,
			    enum flow_message_kind *kind)
{
	uint16_t number = home_slot(record->print_low);
	const struct director_slot *slot = &director->slots[number];
	const struct slot_homes *homes = home_map_at(director->homes, number);

	*kind = FLOW_HANDOVER;
	if (slot->given_to != NODE_NONE)
		return slot->given_to;
	if (record->is_mirror)
		return NODE_NONE;
	if (homes->home != director->self_id)
		return homes->home;
	*kind = FLOW_MIRROR;
	if (record->state == FLOW_EMBRYONIC || record->state == FLOW_CLOSING)
		return NODE_NONE;
	return homes->mirror;
}

static bool share(struct flow_director *director, struct flow_record *record,
		  int64_t now_ms)
{
	enum flow_message_kind kind;
	uint64_t node_id = receiver_of(director, record, &kind);

	if (node_id == NODE_NONE)
		return true;
	if (!record->is_mirror &&
	    !flow_director_is_exception(director, record, now_ms))
		return true;
	return send_record(director, record, node_id, kind, now_ms);
}

/* Copies a flow to its mirror if it needs one; a later pass may do it too. */
void flow_director_mirror(struct flow_director *director,
			  struct flow_record *record, int64_t now_ms)
{
	if (director->homes && !share(director, record, now_ms))
		director->has_skipped = true;
}

/* Begins a pass over all records that finds those to send. */
void flow_director_start_pass(struct flow_director *director)
{
	director->pass_left = flow_table_bucket_count(director->table);
	director->has_skipped = false;
}

static enum sweep_step visit(void *context, struct flow_record *record)
{
	struct flow_director *director = context;

	if (flow_table_is_idle(record, director->now_ms)) {
		flow_director_uncount(director, record);
		return SWEEP_REMOVE;
	}
	if (director->pass_left == 0 ||
	    share(director, record, director->now_ms))
		return SWEEP_KEEP;
	if (!flow_outbox_has_budget(director->outbox))
		return SWEEP_STOP;
	director->has_skipped = true;
	return SWEEP_KEEP;
}

/*
 * Moves the hand over part of the table: idle flows go, and in a pass
 * exceptions are sent to where they must be known, as far as the budget lets.
 */
void flow_director_sweep(struct flow_director *director, int64_t now_ms)
{
	uint32_t all = flow_table_bucket_count(director->table);
	bool is_pass = director->pass_left > 0;
	uint32_t step = all / (is_pass ? PASS_TICKS : IDLE_PASS_TICKS) + 1;
	uint32_t passed =
		flow_table_sweep(director->table, step, director, visit);

	flow_director_send_pools(director, now_ms);
	if (is_pass)
		director->pass_left -= MIN(passed, director->pass_left);
	if (director->pass_left > 0)
		return;
	if (director->has_skipped)
		flow_director_start_pass(director);
	else
		flow_director_announce(director, now_ms);
}
