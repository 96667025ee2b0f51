#include "soak_routes.h"

#include "soak_hosts.h"

#include <task/task.h>

/* Base routes, one for each service, are present throughout the run. */
#define BASE_PORT 1000
#define ADDED_PORT 2000
#define ADDRESS_FIRST 0xc6120001u /* 198.18.0.1 */
#define IDLE_TIMEOUT_MS 15000
/*
 * Relative frequency of new flows on a route: high for base routes, and for
 * removed ones high enough that each node gets such a flow in a few seconds.
 */
#define BASE_WEIGHT 20
#define ADDED_WEIGHT 6
#define REMOVED_WEIGHT 4
/* Number of removed routes that callers still probe. */
#define PROBED_COUNT_MAX 4

struct soak_route {
	struct endpoint address;
	uint32_t service;
	bool is_base;
	bool is_present;
};

struct soak_routes {
	struct soak_routes_options options;
	struct fake_caller **callers;
	uint32_t caller_count;
	GArray *routes;
	uint32_t version;
};

static struct soak_route *route_at(const struct soak_routes *routes,
				   uint32_t index)
{
	return &g_array_index(routes->routes, struct soak_route, index);
}

static void add_entry(GString *text, const struct soak_route *route)
{
	char name[SOAK_SERVICE_NAME_BYTES];
	char address[IP_ADDR_TEXT_BYTES];

	g_string_append_printf(text,
			       "%s{\"hostname\":\"%s\",\"prefix\":\"/%u/\","
			       "\"service\":\"%s\"}",
			       text->str[text->len - 1] == '[' ? "" : ",",
			       ip_addr_format(&route->address.addr, address),
			       route->address.port,
			       soak_hosts_service_name(route->service, name));
}

static void write_config(struct soak_routes *routes)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[",
			       routes->version);
	for (uint32_t i = 0; i < routes->routes->len; i++) {
		if (route_at(routes, i)->is_present)
			add_entry(text, route_at(routes, i));
	}
	g_string_append_printf(text, "],\"limits\":{\"idleTimeoutMs\":%d}}",
			       IDLE_TIMEOUT_MS);
	fake_kv_put(routes->options.kv, "op/config", text->str);
	g_string_free(text, TRUE);
}

static void post_route_event(const struct soak_routes *routes,
			     const struct soak_route *route)
{
	struct soak_fleet_event fleet_event = {
		.kind = route->is_present ? SOAK_FLEET_EVENT_ROUTE_PRESENT
					  : SOAK_FLEET_EVENT_ROUTE_REMOVED,
		.at_ms = task_now_ms(),
		.service = route->service,
		.version = routes->version,
		.address = route->address,
		.is_planned = true,
	};
	struct faulty_node_route faulty_node_update = {
		route->address, route->service, route->is_present};

	checker_task_post_fleet_event(routes->options.checker, &fleet_event);
	if (routes->options.faulty_node)
		faulty_node_set_route(routes->options.faulty_node,
				      &faulty_node_update);
}

static uint32_t flow_weight(const struct soak_route *route,
			    uint32_t *probed_count)
{
	if (route->is_base)
		return BASE_WEIGHT;
	if (route->is_present)
		return ADDED_WEIGHT;
	return (*probed_count)++ < PROBED_COUNT_MAX ? REMOVED_WEIGHT : 0;
}

static void update_callers(const struct soak_routes *routes)
{
	uint32_t count = routes->routes->len;
	struct caller_route *caller_routes = g_new0(struct caller_route, count);
	uint32_t probed_count = 0;

	/* Newest first, as only the newest removed routes are probed. */
	for (uint32_t i = count; i-- > 0;) {
		const struct soak_route *route = route_at(routes, i);

		caller_routes[i].address = route->address;
		caller_routes[i].weight = flow_weight(route, &probed_count);
	}
	for (uint32_t i = 0; i < routes->caller_count; i++)
		fake_caller_set_routes(routes->callers[i], caller_routes,
				       count);
	g_free(caller_routes);
}

static void apply_change(struct soak_routes *routes,
			 const struct soak_route *route)
{
	routes->version++;
	write_config(routes);
	post_route_event(routes, route);
	update_callers(routes);
}

static struct soak_route *append_route(struct soak_routes *routes,
				       uint32_t service, bool is_base)
{
	uint32_t route_index = routes->routes->len;
	struct soak_route route = {
		.address.addr = ip_addr_from_v4(ADDRESS_FIRST + service),
		.service = service,
		.is_base = is_base,
		.is_present = true,
	};

	route.address.port =
		(uint16_t)((is_base ? BASE_PORT : ADDED_PORT) + route_index);
	g_array_append_val(routes->routes, route);
	return route_at(routes, route_index);
}

/*
 * Writes a configuration with the base routes. Free the routes with
 * soak_routes_free.
 */
struct soak_routes *soak_routes_new(const struct soak_routes_options *options)
{
	struct soak_routes *routes = g_new0(struct soak_routes, 1);

	routes->options = *options;
	routes->routes = g_array_new(FALSE, FALSE, sizeof(struct soak_route));
	for (uint32_t i = 0; i < options->service_count; i++)
		apply_change(routes, append_route(routes, i, true));
	return routes;
}

/* Frees the routes; NULL is allowed. */
void soak_routes_free(struct soak_routes *routes)
{
	if (!routes)
		return;
	g_array_free(routes->routes, TRUE);
	g_free(routes);
}

/*
 * Makes the callers use the routes, and follow their changes. The callers must
 * outlive the routes.
 */
void soak_routes_start_callers(struct soak_routes *routes,
			       struct fake_caller **callers, uint32_t count)
{
	routes->callers = callers;
	routes->caller_count = count;
	update_callers(routes);
}

/* Picks a present route that is not a base route, or returns NULL. */
static struct soak_route *pick_added_route(const struct soak_routes *routes,
					   uint32_t subject)
{
	for (uint32_t i = 0; i < routes->routes->len; i++) {
		struct soak_route *route =
			route_at(routes, (subject + i) % routes->routes->len);

		if (route->is_present && !route->is_base)
			return route;
	}
	return NULL;
}

/* Adds a route to one of the services. */
void soak_routes_add(struct soak_routes *routes, uint32_t subject)
{
	uint32_t service = subject % routes->options.service_count;

	apply_change(routes, append_route(routes, service, false));
}

/* Removes an added route, if there is one. */
void soak_routes_remove(struct soak_routes *routes, uint32_t subject)
{
	struct soak_route *route = pick_added_route(routes, subject);

	if (!route)
		return;
	route->is_present = false;
	apply_change(routes, route);
}

/* Moves an added route, if there is one, to the next service. */
void soak_routes_move(struct soak_routes *routes, uint32_t subject)
{
	struct soak_route *route = pick_added_route(routes, subject);

	if (!route)
		return;
	route->service = (route->service + 1) % routes->options.service_count;
	apply_change(routes, route);
}
