#ifndef CORE_RELAY_ROUTE_TABLE_H
#define CORE_RELAY_ROUTE_TABLE_H

#include <core/relay_route.h>
#include <core/relay_service.h>

/*
 * The routes and services of one version of the configuration; versions
 * increase. A node removes the records of flows that are idle for longer than
 * idle_timeout_ms.
 */
struct relay_route_table;

struct relay_route_table *relay_route_table_new(uint64_t version,
						uint32_t idle_timeout_ms);
void relay_route_table_free(struct relay_route_table *table);
bool relay_route_table_add(struct relay_route_table *table,
			   const struct relay_route *route);
const struct relay_route *
relay_route_table_find(const struct relay_route_table *table,
		       const struct endpoint *address);
bool relay_route_table_add_service(struct relay_route_table *table,
				   const struct relay_service *service);
const struct relay_service *
relay_route_table_find_service(const struct relay_route_table *table,
			       uint32_t service_id);
void relay_route_table_inherit_removed(
	struct relay_route_table *table,
	const struct relay_route_table *previous);
bool relay_route_table_is_removed(const struct relay_route_table *table,
				  const struct endpoint *address);
uint64_t relay_route_table_version(const struct relay_route_table *table);
uint32_t
relay_route_table_idle_timeout_ms(const struct relay_route_table *table);
bool relay_route_table_has_classes(const struct relay_route_table *table);
uint32_t relay_route_table_count(const struct relay_route_table *table);

#endif
