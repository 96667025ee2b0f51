#include <core/relay_flow_table.h>

#include "relay_flow_index.h"

#include <glib.h>

TAILQ_HEAD(relay_flow_list, relay_flow);

/*
 * Minimum interval between moves of a flow to the end of its list, and so the
 * precision of the order of use. Moving a flow also writes to its neighbours in
 * the list. The director looks for idle flows at the same interval.
 */
#define REORDER_INTERVAL_MS 100

/*
 * closed lists the flows in state closed, counted the others that are counted
 * as load of their target, uncounted the rest, each from the least to the most
 * recently used, with a precision of REORDER_INTERVAL_MS. by_sent lists the
 * opening flows in the order in which their packets were sent.
 */
struct relay_flow_table {
	struct relay_flow_pool *pool;
	struct relay_flow_index *index;
	struct relay_flow_list counted;
	struct relay_flow_list uncounted;
	struct relay_flow_list closed;
	struct relay_flow_list by_sent;
	uint32_t capacity;
};

/* Creates an empty table. Free it with relay_flow_table_free. */
struct relay_flow_table *relay_flow_table_new(uint32_t capacity)
{
	struct relay_flow_table *table = g_new0(struct relay_flow_table, 1);

	table->pool = relay_flow_pool_new();
	table->index = relay_flow_index_new(table->pool);
	table->capacity = capacity;
	TAILQ_INIT(&table->counted);
	TAILQ_INIT(&table->uncounted);
	TAILQ_INIT(&table->closed);
	TAILQ_INIT(&table->by_sent);
	return table;
}

static void free_openings(struct relay_flow_list *list)
{
	struct relay_flow *flow;

	TAILQ_FOREACH (flow, list, by_use)
		g_free(flow->opening);
}

/* Frees the table and its flows; NULL is allowed. */
void relay_flow_table_free(struct relay_flow_table *table)
{
	if (!table)
		return;
	free_openings(&table->counted);
	free_openings(&table->uncounted);
	free_openings(&table->closed);
	relay_flow_index_free(table->index);
	relay_flow_pool_free(table->pool);
	g_free(table);
}

/* Returns the flow with this hash, or NULL. */
struct relay_flow *relay_flow_table_find(struct relay_flow_table *table,
					 struct hash128 flow_hash)
{
	return relay_flow_index_find(table->index, flow_hash);
}

/* Returns whether a flow has to be evicted before another is added. */
bool relay_flow_table_is_full(const struct relay_flow_table *table)
{
	return relay_flow_index_count(table->index) >= table->capacity;
}

/* Adds a flow, which must not be in the table, in state opening. */
struct relay_flow *relay_flow_table_add(struct relay_flow_table *table,
					struct hash128 flow_hash,
					int64_t now_ms)
{
	struct relay_flow *flow = relay_flow_pool_take(table->pool);

	flow->hash = flow_hash;
	flow->used_ms = now_ms;
	flow->reordered_ms = now_ms;
	flow->sent_ms = now_ms;
	flow->first_seen_ms = (uint32_t)now_ms;
	relay_flow_index_add(table->index, flow);
	TAILQ_INSERT_TAIL(&table->uncounted, flow, by_use);
	TAILQ_INSERT_TAIL(&table->by_sent, flow, by_sent);
	return flow;
}

static void remove_from_opening(struct relay_flow_table *table,
				struct relay_flow *flow)
{
	if (flow->state == RELAY_FLOW_OPENING)
		TAILQ_REMOVE(&table->by_sent, flow, by_sent);
}

static void forget_opening(struct relay_flow *flow)
{
	g_clear_pointer(&flow->opening, g_free);
	flow->opening_bytes = 0;
}

/*
 * Stores a copy of the flow's opening packet in place of a previous one, until
 * the flow is open. A packet longer than RELAY_OPENING_BYTES_MAX is not stored.
 */
void relay_flow_table_set_opening(struct relay_flow *flow, const uint8_t *bytes,
				  uint32_t length_bytes)
{
	forget_opening(flow);
	if (length_bytes > RELAY_OPENING_BYTES_MAX)
		return;
	flow->opening = g_memdup2(bytes, length_bytes);
	flow->opening_bytes = (uint8_t)length_bytes;
}

static struct relay_flow_list *lru_list(struct relay_flow_table *table,
					const struct relay_flow *flow)
{
	if (flow->state == RELAY_FLOW_CLOSED)
		return &table->closed;
	return flow->is_counted ? &table->counted : &table->uncounted;
}

/* Changes the state, and the lists of the flow with it. */
static void change_state(struct relay_flow_table *table,
			 struct relay_flow *flow, enum relay_flow_state state)
{
	struct relay_flow_list *previous = lru_list(table, flow);

	remove_from_opening(table, flow);
	flow->state = (uint8_t)state;
	if (lru_list(table, flow) == previous)
		return;
	TAILQ_REMOVE(previous, flow, by_use);
	TAILQ_INSERT_TAIL(lru_list(table, flow), flow, by_use);
}

/* Removes a flow and frees it. */
void relay_flow_table_remove(struct relay_flow_table *table,
			     struct relay_flow *flow)
{
	remove_from_opening(table, flow);
	forget_opening(flow);
	TAILQ_REMOVE(lru_list(table, flow), flow, by_use);
	relay_flow_index_remove(table->index, flow);
	relay_flow_pool_give_back(table->pool, flow);
}

/* Records the use of a flow by a packet. */
void relay_flow_table_touch(struct relay_flow_table *table,
			    struct relay_flow *flow, int64_t now_ms)
{
	flow->used_ms = now_ms;
	if (now_ms - flow->reordered_ms < REORDER_INTERVAL_MS)
		return;
	flow->reordered_ms = now_ms;
	TAILQ_REMOVE(lru_list(table, flow), flow, by_use);
	TAILQ_INSERT_TAIL(lru_list(table, flow), flow, by_use);
}

/* Records that the opening packet was sent, and sets the state to opening. */
void relay_flow_table_mark_sent(struct relay_flow_table *table,
				struct relay_flow *flow, int64_t now_ms)
{
	change_state(table, flow, RELAY_FLOW_OPENING);
	flow->has_opened = false;
	flow->sent_ms = now_ms;
	TAILQ_INSERT_TAIL(&table->by_sent, flow, by_sent);
}

/* Sets the state of a flow to one other than opening. */
void relay_flow_table_set_state(struct relay_flow_table *table,
				struct relay_flow *flow,
				enum relay_flow_state state)
{
	if (flow->state == RELAY_FLOW_OPEN && state != RELAY_FLOW_OPEN)
		flow->sent_ms = flow->used_ms;
	change_state(table, flow, state);
	if (state == RELAY_FLOW_OPEN)
		flow->has_opened = true;
	if (state == RELAY_FLOW_OPEN || state == RELAY_FLOW_CLOSED)
		forget_opening(flow);
}

/* Sets whether the flow is counted as load of its target. */
void relay_flow_table_set_counted(struct relay_flow_table *table,
				  struct relay_flow *flow, bool is_counted)
{
	TAILQ_REMOVE(lru_list(table, flow), flow, by_use);
	flow->is_counted = is_counted;
	TAILQ_INSERT_TAIL(lru_list(table, flow), flow, by_use);
}

/* Returns the least recently used flow that is counted, or NULL. */
struct relay_flow *relay_flow_table_lru_counted(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->counted);
}

/* Returns the least recently used flow in state closed, or NULL. */
struct relay_flow *relay_flow_table_lru_closed(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->closed);
}

/* Returns the least recently used flow neither counted nor closed, or NULL. */
struct relay_flow *
relay_flow_table_lru_uncounted(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->uncounted);
}

/*
 * Returns the flow to evict when the table is full, or NULL: the least recently
 * used one, preferably one that is closed, or else not counted.
 */
struct relay_flow *
relay_flow_table_eviction_candidate(struct relay_flow_table *table)
{
	struct relay_flow *flow = TAILQ_FIRST(&table->closed);

	if (!flow)
		flow = TAILQ_FIRST(&table->uncounted);
	return flow ? flow : TAILQ_FIRST(&table->counted);
}

/* Returns the opening flow whose packet was sent first, or NULL. */
struct relay_flow *
relay_flow_table_oldest_opening(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->by_sent);
}

/* Returns the number of flows. */
uint32_t relay_flow_table_count(const struct relay_flow_table *table)
{
	return relay_flow_index_count(table->index);
}
