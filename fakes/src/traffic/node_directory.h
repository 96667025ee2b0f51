#ifndef NODE_DIRECTORY_H
#define NODE_DIRECTORY_H

#include <fakes/faulty_node.h>

/*
 * The hosts, routes and evacuated zones that a faulty node was told of. It has
 * no task and no lock: its node owns it.
 */
struct node_directory;

struct node_directory *node_directory_new(void);
void node_directory_free(struct node_directory *directory);
void node_directory_store_host(struct node_directory *directory,
			       const struct faulty_node_host *update);
void node_directory_store_route(struct node_directory *directory,
				const struct faulty_node_route *update);
void node_directory_store_evacuation(
	struct node_directory *directory,
	const struct faulty_node_evacuation *update);
uint32_t node_directory_host_count(const struct node_directory *directory);
struct faulty_node_host *
node_directory_host_at(const struct node_directory *directory, uint32_t index);
struct faulty_node_host *
node_directory_find_host(const struct node_directory *directory,
			 uint64_t host_id);
struct faulty_node_route *
node_directory_find_route(const struct node_directory *directory,
			  const struct endpoint *address);
bool node_directory_is_evacuated(const struct node_directory *directory,
				 uint32_t zone);

#endif
