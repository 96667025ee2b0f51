#include "checker_state.h"

struct checker_state {
	GHashTable *hosts;
	GHashTable *zones;
	GHashTable *routes;
	GHashTable *flows;
	GHashTable *execution_counts;
};

static guint hash_endpoint(gconstpointer key)
{
	return (guint)endpoint_hash(key, 0);
}

static gboolean is_endpoint_equal(gconstpointer a, gconstpointer b)
{
	return endpoint_equal(a, b);
}

/* Returns an empty state. Free it with checker_state_free. */
struct checker_state *checker_state_new(void)
{
	struct checker_state *state = g_new0(struct checker_state, 1);

	state->hosts = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					     NULL, g_free);
	state->zones = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					     NULL, g_free);
	state->routes = g_hash_table_new_full(hash_endpoint, is_endpoint_equal,
					      NULL, g_free);
	state->flows = g_hash_table_new_full(hash_endpoint, is_endpoint_equal,
					     g_free, g_free);
	state->execution_counts = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	return state;
}

/* Frees the state. */
void checker_state_free(struct checker_state *state)
{
	g_hash_table_destroy(state->hosts);
	g_hash_table_destroy(state->zones);
	g_hash_table_destroy(state->routes);
	g_hash_table_destroy(state->flows);
	g_hash_table_destroy(state->execution_counts);
	g_free(state);
}

static void update_host(struct checker_state *state,
			const struct soak_fleet_event *fleet_event)
{
	gpointer key = GUINT_TO_POINTER(fleet_event->subject);
	struct checker_host *host = g_hash_table_lookup(state->hosts, key);

	if (!host) {
		host = g_new0(struct checker_host, 1);
		host->service = fleet_event->service;
		host->zone = fleet_event->zone;
		g_hash_table_insert(state->hosts, key, host);
	}
	host->is_draining = host->is_draining ||
			    fleet_event->kind == SOAK_FLEET_EVENT_HOST_DRAINING;
	host->is_stopped = fleet_event->kind == SOAK_FLEET_EVENT_HOST_STOPPED;
	host->changed_ms = fleet_event->at_ms;
}

static void update_zone(struct checker_state *state,
			const struct soak_fleet_event *fleet_event)
{
	struct checker_zone *zone = g_new0(struct checker_zone, 1);

	zone->is_evacuated =
		fleet_event->kind == SOAK_FLEET_EVENT_ZONE_EVACUATED;
	zone->changed_ms = fleet_event->at_ms;
	g_hash_table_replace(state->zones, GUINT_TO_POINTER(fleet_event->zone),
			     zone);
}

static void update_route(struct checker_state *state,
			 const struct soak_fleet_event *fleet_event)
{
	struct checker_route *route =
		g_hash_table_lookup(state->routes, &fleet_event->address);

	if (!route) {
		route = g_new0(struct checker_route, 1);
		route->address = fleet_event->address;
		g_hash_table_insert(state->routes, &route->address, route);
	}
	route->service = fleet_event->service;
	route->service_mask |= 1ULL << fleet_event->service;
	route->is_present = fleet_event->kind == SOAK_FLEET_EVENT_ROUTE_PRESENT;
	route->changed_ms = fleet_event->at_ms;
	route->version = fleet_event->version;
}

/* Applies events of hosts, zones and routes; ignores all others. */
void checker_state_update(struct checker_state *state,
			  const struct soak_fleet_event *fleet_event)
{
	switch (fleet_event->kind) {
	case SOAK_FLEET_EVENT_HOST_READY:
	case SOAK_FLEET_EVENT_HOST_DRAINING:
	case SOAK_FLEET_EVENT_HOST_STOPPED:
		update_host(state, fleet_event);
		return;
	case SOAK_FLEET_EVENT_ZONE_EVACUATED:
	case SOAK_FLEET_EVENT_ZONE_RESTORED:
		update_zone(state, fleet_event);
		return;
	case SOAK_FLEET_EVENT_ROUTE_PRESENT:
	case SOAK_FLEET_EVENT_ROUTE_REMOVED:
		update_route(state, fleet_event);
		return;
	default:
		return;
	}
}

/* Returns a host, or NULL if no event of this host was recorded. */
const struct checker_host *checker_state_host(const struct checker_state *state,
					      uint32_t host)
{
	return g_hash_table_lookup(state->hosts, GUINT_TO_POINTER(host));
}

/* Returns a zone, or NULL if it was never evacuated. */
const struct checker_zone *checker_state_zone(const struct checker_state *state,
					      uint32_t zone)
{
	return g_hash_table_lookup(state->zones, GUINT_TO_POINTER(zone));
}

/* Returns the route of an address, or NULL if it never had one. */
const struct checker_route *
checker_state_route(const struct checker_state *state,
		    const struct endpoint *address)
{
	return g_hash_table_lookup(state->routes, address);
}

/* Returns whether the route has ever led to the service. */
bool checker_route_had_service(const struct checker_route *route,
			       uint32_t service)
{
	return (route->service_mask >> service & 1) != 0;
}

/* Returns the flow of a caller address; creates it for a new address. */
struct checker_flow *checker_state_flow(struct checker_state *state,
					const struct endpoint *caller)
{
	struct checker_flow *flow = g_hash_table_lookup(state->flows, caller);

	if (flow)
		return flow;
	flow = g_new0(struct checker_flow, 1);
	g_hash_table_insert(state->flows, g_memdup2(caller, sizeof(*caller)),
			    flow);
	return flow;
}

/* Counts an execution of a request and returns the number so far. */
uint32_t checker_state_count_execution(struct checker_state *state,
				       uint64_t request_id)
{
	uint32_t count = GPOINTER_TO_UINT(
		g_hash_table_lookup(state->execution_counts, &request_id));

	g_hash_table_replace(state->execution_counts,
			     g_memdup2(&request_id, sizeof(request_id)),
			     GUINT_TO_POINTER(count + 1));
	return count + 1;
}
