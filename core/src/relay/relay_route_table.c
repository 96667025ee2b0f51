#include <core/relay_route_table.h>

#include <glib.h>

struct relay_route_table {
	GHashTable *routes;
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
