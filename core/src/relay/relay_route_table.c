#include <core/relay_route_table.h>

#include <glib.h>

/*
 * How many dropped addresses are remembered. Flows on them end within minutes,
 * and 3,200 changes a day drop fewer than 10 routes in that time.
 */
#define DROPPED_COUNT_MAX 256

struct relay_route_table {
	GHashTable *routes;
	/* Addresses without a route that earlier versions had one for. */
	GHashTable *dropped;
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
	table->dropped = g_hash_table_new_full(address_hash, address_equal,
					       g_free, NULL);
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
	g_hash_table_destroy(table->dropped);
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
	if (g_hash_table_size(table->dropped) < DROPPED_COUNT_MAX &&
	    !g_hash_table_contains(table->routes, address))
		g_hash_table_add(table->dropped,
				 g_memdup2(address, sizeof(*address)));
}

static void note_all(struct relay_route_table *table, GHashTable *addresses)
{
	GHashTableIter iter;
	gpointer address;

	g_hash_table_iter_init(&iter, addresses);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		note_dropped(table, address);
}

/*
 * Notes what earlier versions had and this one has not, the last one's first;
 * NULL is allowed.
 */
void relay_route_table_follow(struct relay_route_table *table,
			      const struct relay_route_table *former)
{
	if (!former)
		return;
	note_all(table, former->routes);
	note_all(table, former->dropped);
}

/* Tells whether an earlier version is known to have had a route for it. */
bool relay_route_table_is_dropped(const struct relay_route_table *table,
				  const struct endpoint *address)
{
	return g_hash_table_size(table->dropped) > 0 &&
	       g_hash_table_contains(table->dropped, address);
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
