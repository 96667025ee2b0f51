#include "node_directory.h"

struct node_directory {
	GArray *hosts;
	GArray *routes;
	/* Bit mask of the evacuated zones. */
	uint64_t evacuated_mask;
};

/* Creates an empty directory. Free it with node_directory_free. */
struct node_directory *node_directory_new(void)
{
	struct node_directory *directory = g_new0(struct node_directory, 1);

	directory->hosts =
		g_array_new(FALSE, FALSE, sizeof(struct faulty_node_host));
	directory->routes =
		g_array_new(FALSE, FALSE, sizeof(struct faulty_node_route));
	return directory;
}

/* Frees the directory. */
void node_directory_free(struct node_directory *directory)
{
	g_array_free(directory->hosts, TRUE);
	g_array_free(directory->routes, TRUE);
	g_free(directory);
}

/* Adds a host, or replaces the one with its id. */
void node_directory_store_host(struct node_directory *directory,
			       const struct faulty_node_host *update)
{
	struct faulty_node_host *host =
		node_directory_find_host(directory, update->host_id);

	if (host)
		*host = *update;
	else
		g_array_append_val(directory->hosts, *update);
}

/* Adds a route, or replaces the one of its address. */
void node_directory_store_route(struct node_directory *directory,
				const struct faulty_node_route *update)
{
	struct faulty_node_route *route =
		node_directory_find_route(directory, &update->address);

	if (route)
		*route = *update;
	else
		g_array_append_val(directory->routes, *update);
}

/* Stores whether a zone is evacuated. */
void node_directory_store_evacuation(
	struct node_directory *directory,
	const struct faulty_node_evacuation *update)
{
	if (update->is_evacuated)
		directory->evacuated_mask |= 1ULL << update->zone;
	else
		directory->evacuated_mask &= ~(1ULL << update->zone);
}

/* Returns the number of hosts, including stopped ones. */
uint32_t node_directory_host_count(const struct node_directory *directory)
{
	return directory->hosts->len;
}

/* Returns the host at index. */
struct faulty_node_host *
node_directory_host_at(const struct node_directory *directory, uint32_t index)
{
	return &g_array_index(directory->hosts, struct faulty_node_host, index);
}

/* Returns the host with this id, or NULL. */
struct faulty_node_host *
node_directory_find_host(const struct node_directory *directory,
			 uint64_t host_id)
{
	for (uint32_t i = 0; i < directory->hosts->len; i++) {
		if (node_directory_host_at(directory, i)->host_id == host_id)
			return node_directory_host_at(directory, i);
	}
	return NULL;
}

/* Returns the route of this address, or NULL. */
struct faulty_node_route *
node_directory_find_route(const struct node_directory *directory,
			  const struct endpoint *address)
{
	for (uint32_t i = 0; i < directory->routes->len; i++) {
		struct faulty_node_route *route = &g_array_index(
			directory->routes, struct faulty_node_route, i);

		if (endpoint_equal(&route->address, address))
			return route;
	}
	return NULL;
}

/* Returns whether the zone is evacuated. */
bool node_directory_is_evacuated(const struct node_directory *directory,
				 uint32_t zone)
{
	return (directory->evacuated_mask >> zone & 1) != 0;
}
