#include <core/relay_route_table.h>

#include <glib.h>
#include <string.h>

/*
 * Maximum number of addresses of removed routes that are kept. Their flows end
 * within minutes; with 3,200 changes a day fewer than 10 routes are removed in
 * that time.
 */
#define REMOVED_COUNT_MAX 256

/* A route of a table, which owns the shares with it. */
struct owned_route {
	struct relay_route route;
	struct relay_share shares[];
};

struct relay_route_table {
	/* Maps the addresses of routes to struct owned_route. */
	GHashTable *routes;
	/* Addresses without a route that had one in an earlier version. */
	GHashTable *removed;
	/* Maps service ids to struct relay_service. */
	GHashTable *services;
	uint64_t version;
	uint32_t idle_timeout_ms;
	/* That of the route that was added last. */
	uint32_t priority;
	bool has_classes;
};

static guint address_hash(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean address_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

/* Creates an empty table. Free it with relay_route_table_free. */
struct relay_route_table *relay_route_table_new(uint64_t version,
						uint32_t idle_timeout_ms)
{
	struct relay_route_table *table = g_new0(struct relay_route_table, 1);

	table->routes = g_hash_table_new_full(address_hash, address_equal, NULL,
					      g_free);
	table->removed = g_hash_table_new_full(address_hash, address_equal,
					       g_free, NULL);
	table->services = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, g_free);
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
	g_hash_table_destroy(table->removed);
	g_hash_table_destroy(table->services);
	g_free(table);
}

static struct relay_route *copy_route(const struct relay_route *route)
{
	size_t shares_bytes = route->share_count * sizeof(*route->shares);
	struct owned_route *copy = g_malloc(sizeof(*copy) + shares_bytes);

	copy->route = *route;
	copy->route.shares = copy->shares;
	memcpy(copy->shares, route->shares, shares_bytes);
	return &copy->route;
}

/*
 * Adds a copy of a route and of its shares. Returns false if the route has no
 * shares, or if its address already has a route, which stays.
 */
bool relay_route_table_add(struct relay_route_table *table,
			   const struct relay_route *route)
{
	struct relay_route *copy;

	if (route->share_count == 0 ||
	    g_hash_table_contains(table->routes, &route->address))
		return false;
	if (g_hash_table_size(table->routes) > 0 &&
	    route->priority != table->priority)
		table->has_classes = true;
	table->priority = route->priority;
	copy = copy_route(route);
	g_hash_table_insert(table->routes, &copy->address, copy);
	return true;
}

/* Returns the route for an address, or NULL. */
const struct relay_route *
relay_route_table_find(const struct relay_route_table *table,
		       const struct endpoint *address)
{
	return g_hash_table_lookup(table->routes, address);
}

/* Adds a copy of a service. Returns false if the table has it already. */
bool relay_route_table_add_service(struct relay_route_table *table,
				   const struct relay_service *service)
{
	gpointer key = GUINT_TO_POINTER(service->service_id);

	if (g_hash_table_contains(table->services, key))
		return false;
	g_hash_table_insert(table->services, key,
			    g_memdup2(service, sizeof(*service)));
	return true;
}

/* Returns a service, or NULL if the configuration does not describe it. */
const struct relay_service *
relay_route_table_find_service(const struct relay_route_table *table,
			       uint32_t service_id)
{
	return g_hash_table_lookup(table->services,
				   GUINT_TO_POINTER(service_id));
}

static void record_removed(struct relay_route_table *table,
			   const struct endpoint *address)
{
	if (g_hash_table_size(table->removed) < REMOVED_COUNT_MAX &&
	    !g_hash_table_contains(table->routes, address))
		g_hash_table_add(table->removed,
				 g_memdup2(address, sizeof(*address)));
}

static void record_all_removed(struct relay_route_table *table,
			       GHashTable *addresses)
{
	GHashTableIter iter;
	gpointer address;

	g_hash_table_iter_init(&iter, addresses);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		record_removed(table, address);
}

/*
 * Records the addresses that had a route in earlier versions and have none in
 * this one, up to REMOVED_COUNT_MAX, those of the previous version first.
 * previous may be NULL.
 */
void relay_route_table_inherit_removed(struct relay_route_table *table,
				       const struct relay_route_table *previous)
{
	if (!previous)
		return;
	record_all_removed(table, previous->routes);
	record_all_removed(table, previous->removed);
}

/* Returns whether an address without a route had one in an earlier version. */
bool relay_route_table_is_removed(const struct relay_route_table *table,
				  const struct endpoint *address)
{
	return g_hash_table_size(table->removed) > 0 &&
	       g_hash_table_contains(table->removed, address);
}

/* Returns the configuration's version. */
uint64_t relay_route_table_version(const struct relay_route_table *table)
{
	return table->version;
}

/* Returns how long the record of an idle flow is kept. */
uint32_t
relay_route_table_idle_timeout_ms(const struct relay_route_table *table)
{
	return table->idle_timeout_ms;
}

/* Returns whether the routes state more than one priority. */
bool relay_route_table_has_classes(const struct relay_route_table *table)
{
	return table->has_classes;
}

/* Returns the number of routes. */
uint32_t relay_route_table_count(const struct relay_route_table *table)
{
	return g_hash_table_size(table->routes);
}
