#include <core/relay_flow_table.h>

#include <glib.h>

TAILQ_HEAD(relay_flow_list, relay_flow);

/*
 * How exactly flows are kept in order of use. Those that nobody used are looked
 * for as often, and moving a flow touches its neighbours.
 */
#define ORDER_MS 100

/*
 * counted holds the flows that count as work of their target, idle the others,
 * both in order of the last packet, to ORDER_MS; by_sent holds the opening
 * flows.
 */
struct relay_flow_table {
	GHashTable *flows;
	struct relay_flow_list counted;
	struct relay_flow_list idle;
	struct relay_flow_list by_sent;
	uint32_t capacity;
};

static guint print_hash(gconstpointer key)
{
	const struct flow_print *print = key;

	return (guint)print->low;
}

static gboolean print_equal(gconstpointer a, gconstpointer b)
{
	return flow_print_equal(*(const struct flow_print *)a,
				*(const struct flow_print *)b);
}

/* Makes an empty table; free it with relay_flow_table_free. */
struct relay_flow_table *relay_flow_table_new(uint32_t capacity)
{
	struct relay_flow_table *table = g_new0(struct relay_flow_table, 1);

	table->flows =
		g_hash_table_new_full(print_hash, print_equal, NULL, g_free);
	table->capacity = capacity;
	TAILQ_INIT(&table->counted);
	TAILQ_INIT(&table->idle);
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

/* Returns a flow, or NULL. */
struct relay_flow *relay_flow_table_find(struct relay_flow_table *table,
					 struct flow_print print)
{
	return g_hash_table_lookup(table->flows, &print);
}

/* Tells whether the oldest flow has to go before another is added. */
bool relay_flow_table_is_full(const struct relay_flow_table *table)
{
	return g_hash_table_size(table->flows) >= table->capacity;
}

/* Adds a flow that is not there yet, in state opening. */
struct relay_flow *relay_flow_table_add(struct relay_flow_table *table,
					struct flow_print print, int64_t now_ms)
{
	struct relay_flow *flow = g_new0(struct relay_flow, 1);

	flow->print = print;
	flow->used_ms = now_ms;
	flow->placed_ms = now_ms;
	flow->sent_ms = now_ms;
	flow->began_ms = now_ms;
	g_hash_table_insert(table->flows, &flow->print, flow);
	TAILQ_INSERT_TAIL(&table->idle, flow, by_use);
	TAILQ_INSERT_TAIL(&table->by_sent, flow, by_sent);
	return flow;
}

static void leave_opening(struct relay_flow_table *table,
			  struct relay_flow *flow)
{
	if (flow->state == RELAY_FLOW_OPENING)
		TAILQ_REMOVE(&table->by_sent, flow, by_sent);
}

static struct relay_flow_list *list_of(struct relay_flow_table *table,
				       const struct relay_flow *flow)
{
	return flow->is_counted ? &table->counted : &table->idle;
}

/* Forgets a flow and frees it. */
void relay_flow_table_remove(struct relay_flow_table *table,
			     struct relay_flow *flow)
{
	leave_opening(table, flow);
	TAILQ_REMOVE(list_of(table, flow), flow, by_use);
	g_hash_table_remove(table->flows, &flow->print);
}

/* Notes that a packet of the flow has passed. */
void relay_flow_table_use(struct relay_flow_table *table,
			  struct relay_flow *flow, int64_t now_ms)
{
	flow->used_ms = now_ms;
	if (now_ms - flow->placed_ms < ORDER_MS)
		return;
	flow->placed_ms = now_ms;
	TAILQ_REMOVE(list_of(table, flow), flow, by_use);
	TAILQ_INSERT_TAIL(list_of(table, flow), flow, by_use);
}

/* Notes that the opening packet has left; the flow is opening from now on. */
void relay_flow_table_sent(struct relay_flow_table *table,
			   struct relay_flow *flow, int64_t now_ms)
{
	leave_opening(table, flow);
	flow->state = RELAY_FLOW_OPENING;
	flow->sent_ms = now_ms;
	TAILQ_INSERT_TAIL(&table->by_sent, flow, by_sent);
}

/* Takes a flow out of the opening ones. */
void relay_flow_table_settle(struct relay_flow_table *table,
			     struct relay_flow *flow,
			     enum relay_flow_state state)
{
	leave_opening(table, flow);
	flow->state = state;
}

/* Says whether the flow counts as work of its target. */
void relay_flow_table_set_counted(struct relay_flow_table *table,
				  struct relay_flow *flow, bool is_counted)
{
	TAILQ_REMOVE(list_of(table, flow), flow, by_use);
	flow->is_counted = is_counted;
	TAILQ_INSERT_TAIL(list_of(table, flow), flow, by_use);
}

/* Returns the counted flow that was used longest ago, or NULL. */
struct relay_flow *
relay_flow_table_oldest_counted(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->counted);
}

/* Returns the flow that does not count and was used longest ago, or NULL. */
struct relay_flow *relay_flow_table_oldest_idle(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->idle);
}

/* Returns the flow that goes first when room is needed, or NULL. */
struct relay_flow *relay_flow_table_oldest(struct relay_flow_table *table)
{
	struct relay_flow *flow = TAILQ_FIRST(&table->idle);

	return flow ? flow : TAILQ_FIRST(&table->counted);
}

/* Returns the opening flow whose packet left longest ago, or NULL. */
struct relay_flow *
relay_flow_table_oldest_opening(struct relay_flow_table *table)
{
	return TAILQ_FIRST(&table->by_sent);
}

/* Returns how many flows are remembered. */
uint32_t relay_flow_table_count(const struct relay_flow_table *table)
{
	return g_hash_table_size(table->flows);
}
