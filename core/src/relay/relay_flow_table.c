#include <core/relay_flow_table.h>

#include <glib.h>

TAILQ_HEAD(relay_flow_list, relay_flow);

/*
 * Minimum interval between moves of a flow to the end of its list, and so the
 * precision of the order of use. Moving a flow also writes to its neighbours in
 * the list. The director looks for idle flows at the same interval.
 */
#define REORDER_INTERVAL_MS 100

/*
 * counted lists the flows that are counted as load of their target, uncounted
 * the others, both from the least to the most recently used, with a precision
 * of REORDER_INTERVAL_MS. by_sent lists the opening flows in the order in which
 * their packets were sent.
 */
struct relay_flow_table {
	GHashTable *flows;
	struct relay_flow_list counted;
	struct relay_flow_list uncounted;
	struct relay_flow_list by_sent;
	uint32_t capacity;
};

static guint key_hash(gconstpointer key)
{
	const struct hash128 *flow_hash = key;

	return (guint)flow_hash->low;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return hash128_equal(*(const struct hash128 *)a,
			     *(const struct hash128 *)b);
}

/* Creates an empty table. Free it with relay_flow_table_free. */
struct relay_flow_table *relay_flow_table_new(uint32_t capacity)
{
	struct relay_flow_table *table = g_new0(struct relay_flow_table, 1);

	table->flows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	table->capacity = capacity;
	TAILQ_INIT(&table->counted);
	TAILQ_INIT(&table->uncounted);
	TAILQ_INIT(&table->by_sent);
	return table;
}

/* Frees the table and its flows; NULL is allowed. */
void relay_flow_table_free(struct relay_flow_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->flows);
	g_free(table);
}

/* Returns the flow with this hash, or NULL. */
struct relay_flow *relay_flow_table_find(struct relay_flow_table *table,
					 struct hash128 flow_hash)
{
	return g_hash_table_lookup(table->flows, &flow_hash);
}

/* Returns whether a flow has to be evicted before another is added. */
bool relay_flow_table_is_full(const struct relay_flow_table *table)
{
	return g_hash_table_size(table->flows) >= table->capacity;
}

/* Adds a flow, which must not be in the table, in state opening. */
struct relay_flow *relay_flow_table_add(struct relay_flow_table *table,
					struct hash128 flow_hash,
					int64_t now_ms)
{
	struct relay_flow *flow = g_new0(struct relay_flow, 1);

	flow->hash = flow_hash;
	flow->used_ms = now_ms;
	flow->reordered_ms = now_ms;
	flow->sent_ms = now_ms;
	flow->first_seen_ms = now_ms;
	g_hash_table_insert(table->flows, &flow->hash, flow);
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

static struct relay_flow_list *lru_list(struct relay_flow_table *table,
					const struct relay_flow *flow)
{
	return flow->is_counted ? &table->counted : &table->uncounted;
}

/* Removes a flow and frees it. */
void relay_flow_table_remove(struct relay_flow_table *table,
			     struct relay_flow *flow)
{
	remove_from_opening(table, flow);
	TAILQ_REMOVE(lru_list(table, flow), flow, by_use);
	g_hash_table_remove(table->flows, &flow->hash);
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
	remove_from_opening(table, flow);
	flow->state = RELAY_FLOW_OPENING;
	flow->sent_ms = now_ms;
	TAILQ_INSERT_TAIL(&table->by_sent, flow, by_sent);
}

/* Sets the state of a flow to one other than opening. */
void relay_flow_table_set_state(struct relay_flow_table *table,
				struct relay_flow *flow,
				enum relay_flow_state state)
{
	remove_from_opening(table, flow);
	flow->state = state;
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

/* Returns the least recently used flow that is not counted, or NULL. */
struct relay_flow *
relay_flow_table_lru_uncounted(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->uncounted);
}

/*
 * Returns the flow to evict when the table is full, or NULL: the least recently
 * used one, preferably one that is not counted.
 */
struct relay_flow *
relay_flow_table_eviction_candidate(struct relay_flow_table *table)
{
	struct relay_flow *flow = TAILQ_FIRST(&table->uncounted);

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
	return g_hash_table_size(table->flows);
}
