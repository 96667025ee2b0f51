#include <core/relay_route_table.h>

#include <glib.h>

/*
 * How many dropped addresses are remembered. Flows on them end within minutes,
 * and 3,200 changes a day drop fewer than 10 routes in that time.
 */
#define DROPPED_COUNT_MAX 256

struct relay_route_table {
	GHashTable *routes;
	/* Addresses that earlier versions had routes for, the last one first.
	 */
	GQueue dropped;
	uint64_t version;
	uint32_t idle_timeout_ms;
};

static guint address_hash(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean address_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

/* Makes a table without routes; free it with relay_route_table_free. */
struct relay_route_table *relay_route_table_new(uint64_t version,
						uint32_t idle_timeout_ms)
{
	struct relay_route_table *table = g_new0(struct relay_route_table, 1);

	table->routes = g_hash_table_new_full(address_hash, address_equal, NULL,
					      g_free);
	table->version = version;
	table->idle_timeout_ms = idle_timeout_ms;
	return table;
}

/* Frees a table; NULL is allowed. */
void relay_route_table_free(struct relay_route_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->routes);
	g_queue_clear_full(&table->dropped, g_free);
	g_free(table);
}

/*
 * Adds a copy of a route. Returns false for a route without shares and for an
 * address that has one already, which keeps the first.
 */
bool relay_route_table_add(struct relay_route_table *table,
			   const struct relay_route *route)
{
	struct relay_route *copy;

	if (route->share_count == 0 ||
	    g_hash_table_contains(table->routes, &route->address))
		return false;
	copy = g_memdup2(route, sizeof(*route));
	g_hash_table_insert(table->routes, &copy->address, copy);
	return true;
}

/* Returns the route of an address, or NULL. */
const struct relay_route *
relay_route_table_find(const struct relay_route_table *table,
		       const struct endpoint *address)
{
	return g_hash_table_lookup(table->routes, address);
}

static void note_dropped(struct relay_route_table *table,
			 const struct endpoint *address)
{
	if (table->dropped.length < DROPPED_COUNT_MAX &&
	    !g_hash_table_contains(table->routes, address))
		g_queue_push_tail(&table->dropped,
				  g_memdup2(address, sizeof(*address)));
}

/* Notes what the version before had and this one has not; NULL is allowed. */
void relay_route_table_follow(struct relay_route_table *table,
			      const struct relay_route_table *former)
{
	GHashTableIter iter;
	gpointer address;

	if (!former)
		return;
	g_hash_table_iter_init(&iter, former->routes);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		note_dropped(table, address);
	for (const GList *link = former->dropped.head; link; link = link->next)
		note_dropped(table, link->data);
}

static gint compare_address(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b) ? 0 : 1;
}

/* Tells whether an earlier version is known to have had a route for it. */
bool relay_route_table_is_dropped(const struct relay_route_table *table,
				  const struct endpoint *address)
{
	return g_queue_find_custom((GQueue *)&table->dropped, address,
				   compare_address) != NULL;
}

/* Returns the configuration's version. */
uint64_t relay_route_table_version(const struct relay_route_table *table)
{
	return table->version;
}

/* Returns after how long without a packet a flow may be forgotten. */
uint32_t
relay_route_table_idle_timeout_ms(const struct relay_route_table *table)
{
	return table->idle_timeout_ms;
}

/* Returns the number of routes. */
uint32_t relay_route_table_count(const struct relay_route_table *table)
{
	return g_hash_table_size(table->routes);
}
